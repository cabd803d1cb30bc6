import type {Organisation, Route} from './configuration.js';

/**
 * Whether requests of a route and an organisation may run in a region. Where both
 * name regions, both bind.
 *
 * @param region Undefined if it is not known.
 */
export function mayRunIn(
  region: string | undefined,
  route: Route,
  organisation: Organisation | undefined,
): boolean {
  return [route.allowedRegions, organisation?.allowedRegions].every(
    allowed =>
      allowed === undefined ||
      (region !== undefined && allowed.includes(region)),
  );
}

import type {Organisation, Route} from './configuration.js';

/**
 * Priority levels for routes within each priority of an organisation, which
 * takes precedence; endpoints accept ten levels in all.
 */
const ROUTE_PRIORITY_LEVELS = 3;
const LOWEST_PRIORITY = 9;

/** The order in which endpoints run a request, from 0, the most urgent, to 9. */
export function requestPriority(
  route: Route,
  organisation: Organisation | undefined,
): number {
  const routeLevel = Math.min(route.priority, ROUTE_PRIORITY_LEVELS - 1);
  const level =
    (organisation?.priority ?? 0) * ROUTE_PRIORITY_LEVELS + routeLevel;
  return Math.min(LOWEST_PRIORITY, Math.max(0, level));
}

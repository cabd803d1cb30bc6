import murmurhash from 'murmurhash';

import type {HostPlace} from '../endpoint-statements/index.js';

/**
 * The places at an endpoint that belong to one of the hosts. Together the hosts own as
 * many as the endpoint has, without a message between them.
 *
 * @param endpoint Identifies the endpoint; hosts own others at each.
 * @param places Requests that the endpoint runs at once.
 * @example
 * ```ts
 * ownPlaces('engine-1', 4, {rank: 0, hosts: 3}); // 1 or 2
 * ```
 */
export function ownPlaces(
  endpoint: string,
  places: number,
  {rank, hosts}: HostPlace,
): number {
  const turn = (rank + murmurhash.v3(endpoint)) % hosts;
  return Math.floor(places / hosts) + (turn < places % hosts ? 1 : 0);
}

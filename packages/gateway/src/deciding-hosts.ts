import {createHash} from 'node:crypto';

/**
 * The hosts that decide on a request for the whole fleet, the first one that can
 * be reached deciding. Hosts that know the same addresses find the same order, and
 * each request has another one (rendezvous hashing; Thaler and Ravishankar, 1998).
 *
 * @param request Digest of the request.
 * @param addresses Addresses of all hosts, in any order.
 * @param count Number of hosts wanted.
 * @example
 * ```ts
 * const [first, second] = decidingHosts(digest, ['10.0.0.1:7200', '10.0.0.2:7200'], 2);
 * ```
 */
export function decidingHosts(
  request: string,
  addresses: readonly string[],
  count: number,
): readonly string[] {
  return addresses
    .map(address => ({address, rank: rankOf(request, address)}))
    .sort((one, other) => (one.rank < other.rank ? -1 : 1))
    .slice(0, count)
    .map(({address}) => address);
}

function rankOf(request: string, address: string): string {
  return createHash('sha256').update(`${request} ${address}`).digest('hex');
}

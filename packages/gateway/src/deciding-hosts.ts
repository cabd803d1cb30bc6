import {createHash} from 'node:crypto';

/**
 * The hosts that decide on a subject for the whole fleet, the first one that can
 * be reached deciding. Hosts that know the same others find the same order, and
 * each subject has another one (rendezvous hashing; Thaler and Ravishankar, 1998).
 *
 * @param subject Digest of a request, or the name of a service.
 * @param hosts Addresses or names of all hosts, in any order.
 * @param count Number of hosts wanted.
 * @example
 * ```ts
 * const [first, second] = decidingHosts(digest, ['10.0.0.1:7200', '10.0.0.2:7200'], 2);
 * ```
 */
export function decidingHosts(
  subject: string,
  hosts: readonly string[],
  count: number,
): readonly string[] {
  return hosts
    .map(host => ({host, rank: rankOf(subject, host)}))
    .sort((one, other) => (one.rank < other.rank ? -1 : 1))
    .slice(0, count)
    .map(({host}) => host);
}

function rankOf(subject: string, host: string): string {
  return createHash('sha256').update(`${subject} ${host}`).digest('hex');
}

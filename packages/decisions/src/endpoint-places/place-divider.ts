import murmurhash from 'murmurhash';

/**
 * The host that divides the places of a service. All hosts with the same list choose the
 * same one, and another one for each service.
 *
 * @param hosts Names of the hosts that can be reached.
 * @example
 * ```ts
 * placeDivider('chat', ['host-1', 'host-2']); // 'host-2'
 * ```
 */
export function placeDivider(
  service: string,
  hosts: Iterable<string>,
): string | undefined {
  const ranked = [...hosts].map(host => ({
    host,
    rank: murmurhash.v3(`${service} ${host}`),
  }));
  ranked.sort((one, other) =>
    one.rank === other.rank
      ? one.host.localeCompare(other.host)
      : other.rank - one.rank,
  );
  return ranked[0]?.host;
}

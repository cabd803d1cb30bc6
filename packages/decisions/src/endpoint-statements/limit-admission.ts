/** The place of one host among all hosts that may send requests to an endpoint. */
export interface HostPlace {
  /** Number of hosts that come before it, by name. */
  readonly rank: number;
  /** Number of hosts, itself included. */
  readonly hosts: number;
}

/**
 * The place of a host in a list of hosts, which may name it or not.
 *
 * @example
 * ```ts
 * hostPlace('host-2', ['host-1', 'host-2', 'host-3']); // {rank: 1, hosts: 3}
 * ```
 */
export function hostPlace(host: string, listed: Iterable<string>): HostPlace {
  const hosts = new Set(listed).add(host);
  const rank = [...hosts].filter(other => other < host).length;
  return {rank, hosts: hosts.size};
}

/** Requests a second that an endpoint takes from all hosts together. */
export interface RequestLimit {
  /** Identifies the endpoint. */
  readonly id: string;
  readonly requestsPerSecond: number;
}

/** The clocks of a host, in milliseconds. */
export interface HostTime {
  readonly monotonic: number;
  /** Since 1970; that of other hosts differs by little. */
  readonly timeOfDay: number;
}

/**
 * Decides which requests a host sends to an endpoint that limits the requests of all
 * hosts, each of which sees only its own.
 */
export abstract class LimitAdmission {
  /**
   * Whether the host may send a request to the endpoint now.
   *
   * @param yields Whether more urgent requests go first.
   */
  abstract mayAdmit(
    limit: RequestLimit,
    place: HostPlace,
    time: HostTime,
    yields?: boolean,
  ): boolean;

  /** Records that a request was sent to the endpoint. */
  abstract admitted(
    limit: RequestLimit,
    place: HostPlace,
    time: HostTime,
  ): void;
}

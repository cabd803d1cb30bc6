/** Part of a host's descriptors that neither callers nor endpoints get. */
const RESERVED_PART = 1 / 8;
/** Smallest reserve: the store, other hosts, the log, settings and what listens. */
const MINIMUM_RESERVE = 40;
const MAXIMUM_RESERVE = 1_024;
/** Part of the other descriptors that callers have, whatever else is open. */
const MINIMUM_CALLER_PART = 1 / 4;
/** Part of all descriptors that tunnels for other hosts may take. */
const TUNNEL_PART = 1 / 4;
const DESCRIPTORS_OF_A_TUNNEL = 2;

/** What a host has open beside its callers' connections. */
export interface HeldDescriptors {
  /** Undefined if there is no limit. */
  readonly limit: number | undefined;
  /** Connections to endpoints on which requests are in progress. */
  readonly used: number;
  /** Connections to endpoints that are kept for further requests. */
  readonly kept: number;
  /** Requests that have not ended; each may need a connection that isn't kept. */
  readonly requests: number;
  /** Connections that it relays for other hosts. */
  readonly tunnels: number;
}

/**
 * Number of callers' connections for which a host has room. Without a bound, connections on
 * which callers send nothing take the descriptors that those who send requests need: the
 * host can open no connection to an endpoint, the store or another host.
 *
 * @example
 * ```ts
 * callerRoom({limit: 1_024, used: 30, kept: 60, requests: 40, tunnels: 0}); // 796
 * ```
 */
export function callerRoom({
  limit,
  used,
  kept,
  requests,
  tunnels,
}: HeldDescriptors): number {
  if (limit === undefined) {
    return Infinity;
  }
  const reserve = Math.min(
    MAXIMUM_RESERVE,
    Math.max(MINIMUM_RESERVE, Math.floor(limit * RESERVED_PART)),
  );
  const shared = Math.max(0, limit - reserve);
  const left =
    shared -
    kept -
    Math.max(used, requests) -
    DESCRIPTORS_OF_A_TUNNEL * tunnels;
  return Math.max(1, left, Math.floor(shared * MINIMUM_CALLER_PART));
}

/** Number of tunnels for which a host has room, by its limit on descriptors. */
export function tunnelRoom(limit: number | undefined): number {
  return limit === undefined
    ? Infinity
    : Math.floor((limit * TUNNEL_PART) / DESCRIPTORS_OF_A_TUNNEL);
}

/** Part of a host's descriptors that neither callers nor endpoints get. */
const RESERVED_PART = 1 / 8;
/** Smallest reserve: the store, other hosts, the log, settings and what listens. */
const MINIMUM_RESERVE = 40;
const MAXIMUM_RESERVE = 1_024;
/** Part of the reserve that callers don't get either before new ones are refused. */
const LAST_RESERVE_PART = 2 / 5;
/** Part of the other descriptors that callers have, whatever else is open. */
const MINIMUM_CALLER_PART = 1 / 4;
/** Part of all descriptors that tunnels for other hosts may take. */
const TUNNEL_PART = 1 / 4;
const DESCRIPTORS_OF_A_TUNNEL = 2;
/** Callers that send a request as they connect have sent it by then. */
const MINIMUM_UNUSED_MILLISECONDS = 100;
/** Time without a request before a connection that had one is closed to make room. */
const MINIMUM_IDLE_MILLISECONDS = 2_000;
/** Part of the room that connections without a request may take from those that had one. */
const UNUSED_PART = 1 / 4;

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
export function callerRoom({requests, ...held}: HeldDescriptors): number {
  const used = Math.max(held.used, requests);
  return roomBeside({...held, used}, 1);
}

/**
 * Number of callers' connections up to which a host accepts new ones where none can be
 * closed. It takes a part of the reserve, and counts on no connection for requests that
 * have none yet: a request that gets none is refused as not run, while a connection that is
 * closed unread loses one without an answer.
 */
export function maximumCallerRoom(
  held: Omit<HeldDescriptors, 'requests'>,
): number {
  return roomBeside(held, LAST_RESERVE_PART);
}

/** @param reservePart Part of the reserve that callers don't get. */
function roomBeside(
  {limit, used, kept, tunnels}: Omit<HeldDescriptors, 'requests'>,
  reservePart: number,
): number {
  if (limit === undefined) {
    return Infinity;
  }
  const left =
    limit -
    Math.ceil(reserveOf(limit) * reservePart) -
    kept -
    used -
    DESCRIPTORS_OF_A_TUNNEL * tunnels;
  return Math.max(left, minimumCallerRoom(limit));
}

/** Number of callers' connections for which a host has room whatever else is open. */
export function minimumCallerRoom(limit: number | undefined): number {
  if (limit === undefined) {
    return Infinity;
  }
  const shared = limit - reserveOf(limit);
  return Math.max(1, Math.floor(shared * MINIMUM_CALLER_PART));
}

function reserveOf(limit: number): number {
  return Math.min(
    limit,
    MAXIMUM_RESERVE,
    Math.max(MINIMUM_RESERVE, Math.floor(limit * RESERVED_PART)),
  );
}

/** Callers' connections on which nothing is in progress, without a new one. */
export interface IdleConnections {
  /** Number of those on which no request has come. */
  readonly unused: number;
  /** Age of the oldest of these, in milliseconds; undefined if there is none. */
  readonly unusedMilliseconds: number | undefined;
  /**
   * Longest time since the last answer on one that had a request, in milliseconds;
   * undefined if there is none.
   */
  readonly idleMilliseconds: number | undefined;
}

/** What is closed to make room for a connection. */
export enum RoomChoice {
  /** The oldest connection on which no request has come. */
  OldestUnused = 'oldest unused',
  /** The connection that had a request and has been idle for longest. */
  LongestIdle = 'longest idle',
  /** No open connection; a new one has to be refused. */
  None = 'none',
}

/**
 * Chooses the connection that is closed where there is no room for one more. This applies
 * when callers open connections and send nothing, faster than these time out: unused
 * connections displace each other, oldest first, so that a caller that sends its request
 * as it connects is served, and callers with kept connections are not concerned.
 *
 * @param room What `callerRoom` returns.
 */
export function chooseToClose(
  {unused, unusedMilliseconds = 0, idleMilliseconds = 0}: IdleConnections,
  room: number,
): RoomChoice {
  if (unusedMilliseconds >= MINIMUM_UNUSED_MILLISECONDS) {
    return RoomChoice.OldestUnused;
  }
  return idleMilliseconds >= MINIMUM_IDLE_MILLISECONDS &&
    unused < room * UNUSED_PART
    ? RoomChoice.LongestIdle
    : RoomChoice.None;
}

/** Number of tunnels for which a host has room, by its limit on descriptors. */
export function tunnelRoom(limit: number | undefined): number {
  return limit === undefined
    ? Infinity
    : Math.floor((limit * TUNNEL_PART) / DESCRIPTORS_OF_A_TUNNEL);
}

/** What this host itself lacked for a connect, as logs and metrics show it. */
export enum HostShortage {
  /** The process, or the system, has no file descriptor left. */
  Descriptor = 'no-descriptor',
  /** No local port is left for connections to this peer. */
  Port = 'no-port',
  /** The system has no memory left for sockets. */
  Memory = 'no-memory',
  /** No network interface leads to the peer. */
  Route = 'no-route',
}

const SHORTAGES: ReadonlyMap<unknown, HostShortage> = new Map([
  ['EMFILE', HostShortage.Descriptor],
  ['ENFILE', HostShortage.Descriptor],
  ['EADDRNOTAVAIL', HostShortage.Port],
  ['ENOBUFS', HostShortage.Memory],
  ['ENOMEM', HostShortage.Memory],
  ['ENETUNREACH', HostShortage.Route],
  ['ENETDOWN', HostShortage.Route],
]);

/** System calls that open a connection. */
const CONNECT_CALLS: ReadonlySet<unknown> = new Set(['connect', 'bind']);

/** A connection through another host failed because this host lacks something. */
export class HostShortageError extends Error {
  override readonly name: string = 'HostShortageError';

  constructor(
    readonly shortage: HostShortage,
    reason: string,
  ) {
    super(reason);
  }
}

/**
 * What this host lacked for a connect that failed; undefined if the failure is the
 * peer's, or of the network between.
 *
 * @example
 * ```ts
 * hostShortageOf(error); // HostShortage.Descriptor for EMFILE
 * ```
 */
export function hostShortageOf(error: unknown): HostShortage | undefined {
  if (error instanceof HostShortageError) {
    return error.shortage;
  }
  return error instanceof Error &&
    'code' in error &&
    'syscall' in error &&
    CONNECT_CALLS.has(error.syscall)
    ? SHORTAGES.get(error.code)
    : undefined;
}

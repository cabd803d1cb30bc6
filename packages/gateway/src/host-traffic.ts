/** Bytes that a host has received and sent on its TCP connections. */
export abstract class HostTraffic {
  /** Bytes received on connections that callers opened, and on all. */
  abstract get received(): {
    readonly fromCallers: number;
    readonly inAll: number;
  };

  /** Bytes given to connections that callers opened, and to all. */
  abstract get sent(): {readonly toCallers: number; readonly inAll: number};

  /** Counts no new connections. */
  abstract close(): void;
}

/** Bytes received and sent on a host's TCP connections. */
export abstract class HostTraffic {
  /**
   * Bytes received on connections opened by callers, and on all connections.
   */
  abstract get received(): {
    readonly fromCallers: number;
    readonly inAll: number;
  };

  /** Bytes written to connections opened by callers, and to all connections. */
  abstract get sent(): {readonly toCallers: number; readonly inAll: number};

  /** Stops counting new connections. */
  abstract close(): void;
}

/**
 * A timeout for data that is expected from the network.
 *
 * After the event loop was blocked, Node.js runs expired timers before it reads sockets.
 * The action is deferred until after that read, which may refresh or close the timeout.
 *
 * @example
 * ```ts
 * const timeout = new NetworkTimeout(1_200, () => outgoing.destroy());
 * outgoing.once('response', () => timeout.close());
 * ```
 */
export class NetworkTimeout {
  private readonly timer: NodeJS.Timeout;
  private pendingAction: NodeJS.Immediate | undefined;

  /**
   * Starts the timeout.
   *
   * @param action Called after the timeout has expired and sockets were read, unless
   *     it was refreshed or closed by then.
   */
  constructor(milliseconds: number, action: () => void) {
    this.timer = setTimeout(() => {
      this.pendingAction = setImmediate(action);
    }, milliseconds);
  }

  /** Restarts the timeout, even if it has expired. */
  refresh(): void {
    clearImmediate(this.pendingAction);
    this.timer.refresh();
  }

  /** Cancels the timeout; a pending action is not called. */
  close(): void {
    clearImmediate(this.pendingAction);
    clearTimeout(this.timer);
  }
}

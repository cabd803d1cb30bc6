/**
 * Whether the platform's log can be read, per stream, from the results of this
 * keeper's calls.
 */
export class PlatformHealth {
  private readonly reachable = new Map<string, boolean>();
  private readonly caughtUp = new Set<string>();

  /**
   * Records a successful read of a stream.
   *
   * @param caughtUp Whether the read reached the end of the stream.
   */
  recordSuccess(stream: string, caughtUp: boolean): void {
    this.reachable.set(stream, true);
    if (caughtUp) {
      this.caughtUp.add(stream);
    }
  }

  /** Records a failed read or append of a stream. */
  recordFailure(stream: string): void {
    this.reachable.set(stream, false);
  }

  /** Whether the last call for the stream succeeded. */
  isReachable(stream: string): boolean {
    return this.reachable.get(stream) ?? false;
  }

  /** Whether the stream is reachable and was read to its end at least once. */
  isCurrent(stream: string): boolean {
    return this.isReachable(stream) && this.hasCaughtUp(stream);
  }

  /** Whether the stream was read to its end at least once. */
  hasCaughtUp(stream: string): boolean {
    return this.caughtUp.has(stream);
  }
}

/** What this keeper knows of the platform's log, from its own reads. */
export class PlatformHealth {
  private readonly reachable = new Map<string, boolean>();
  private readonly caughtUp = new Set<string>();

  /** A read of a stream worked. */
  succeeded(stream: string, caughtUp: boolean): void {
    this.reachable.set(stream, true);
    if (caughtUp) {
      this.caughtUp.add(stream);
    }
  }

  /** A read of a stream failed. */
  failed(stream: string): void {
    this.reachable.set(stream, false);
  }

  /** Whether the last read of the stream worked. */
  isReachable(stream: string): boolean {
    return this.reachable.get(stream) ?? false;
  }

  /** Whether the stream can be read and was once read to its end. */
  isCurrent(stream: string): boolean {
    return this.isReachable(stream) && this.hasCaughtUp(stream);
  }

  /** Whether the stream was once read to its end. */
  hasCaughtUp(stream: string): boolean {
    return this.caughtUp.has(stream);
  }
}

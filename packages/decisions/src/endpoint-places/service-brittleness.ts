/** Time for which an answer or another host is believed, milliseconds. */
const BELIEF_MILLISECONDS = 5_000;

/**
 * Whether the endpoints of a service are brittle, by the answers that this host and
 * others have had. One endpoint that says so is enough: others may have started since.
 * All times are on the monotonic clock, in milliseconds.
 *
 * @example
 * ```ts
 * const brittleness = new ServiceBrittleness();
 * brittleness.said('engine-1', now);
 * brittleness.isBrittle(now + 1_000); // true
 * brittleness.saidNothing('engine-1', now + 1_000);
 * brittleness.isBrittle(now + 1_000); // false
 * ```
 */
export class ServiceBrittleness {
  /** When endpoints said so to this host. */
  private readonly saidAt = new Map<string, number>();
  private latestSaid = -Infinity;
  private toldAt = -Infinity;
  /** The latest request whose answer did not say so was sent then. */
  private unsaidAt = -Infinity;

  /** Records an answer of an endpoint that says that it is brittle. */
  said(endpoint: string, now: number): void {
    this.saidAt.set(endpoint, now);
    this.latestSaid = Math.max(this.latestSaid, now);
  }

  /**
   * Records an answer of an endpoint that does not say so. If it did before, the brittle
   * time is over at others too, unless they say so again.
   *
   * @param sentAt When its request was sent.
   */
  saidNothing(endpoint: string, sentAt: number): void {
    if (this.saidAt.delete(endpoint)) {
      for (const [other, at] of this.saidAt) {
        if (at < sentAt) {
          this.saidAt.delete(other);
        }
      }
      this.latestSaid = Math.max(-Infinity, ...this.saidAt.values());
    }
    this.unsaidAt = Math.max(this.unsaidAt, sentAt);
    if (sentAt > this.toldAt) {
      this.toldAt = -Infinity;
    }
  }

  /** Records that an endpoint said so to another host at a time. */
  told(at: number): void {
    if (at > this.unsaidAt) {
      this.toldAt = Math.max(this.toldAt, at);
    }
  }

  /** When an endpoint last said so to this host; -Infinity if none did. */
  get latestSaidAt(): number {
    return this.latestSaid;
  }

  /** When an endpoint last said so to any host; -Infinity if none did. */
  get latestKnownAt(): number {
    return Math.max(this.toldAt, this.latestSaidAt);
  }

  isBrittle(now: number): boolean {
    return now - this.latestKnownAt < BELIEF_MILLISECONDS;
  }
}

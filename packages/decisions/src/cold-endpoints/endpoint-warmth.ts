/**
 * Tracks whether an endpoint may be cold: it has just started, or says so itself. All
 * times are on the monotonic clock in milliseconds.
 *
 * @example
 * ```ts
 * const warmth = new EndpointWarmth(() => 3_000);
 * warmth.started(now);
 * warmth.isCold(now + 2_000); // true
 * ```
 */
export class EndpointWarmth {
  private coldUntil = -Infinity;
  private refusedAt: number | undefined;

  /** @param coldStartMilliseconds Returns how long it is cold after a start. */
  constructor(private readonly coldStartMilliseconds: () => number) {}

  /** Whether nothing listened at its address when it was last tried. */
  get needsTrial(): boolean {
    return this.refusedAt !== undefined;
  }

  /** Whether the endpoint has to be treated as cold. */
  isCold(now: number): boolean {
    return this.refusedAt !== undefined || now < this.coldUntil;
  }

  /** Whether the endpoint is cold by what it said, or by a start that was seen. */
  isStatedCold(now: number): boolean {
    return now < this.coldUntil;
  }

  /** Records that the endpoint said at a time how much longer it stays cold. */
  stated(remainingMilliseconds: number, at: number): void {
    this.coldUntil = Math.max(this.coldUntil, at + remainingMilliseconds);
  }

  /** Records that the endpoint may have become cold at a time. */
  started(at: number): void {
    this.stated(this.coldStartMilliseconds(), at);
  }

  /**
   * Records that nothing listened at its address. If a connection is accepted later,
   * it has started again, perhaps under the identifier that it had.
   */
  refused(at: number): void {
    this.refusedAt ??= at;
  }

  /** Records that it accepted a connection at a time. */
  accepted(at: number): void {
    if (this.refusedAt !== undefined && at > this.refusedAt) {
      this.refusedAt = undefined;
      this.started(at);
    }
  }

  /** Records that the same start of the endpoint was at work at a time. */
  lived(at: number): void {
    if (this.refusedAt !== undefined && at > this.refusedAt) {
      this.refusedAt = undefined;
    }
  }

  /** Forgets a refusal that this host's own lost path has caused. */
  pathRegained(): void {
    this.refusedAt = undefined;
  }
}

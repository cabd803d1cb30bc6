const MILLISECONDS_PER_SECOND = 1_000;

/**
 * An exponentially decaying rate: demand of the last few half-lives counts.
 *
 * @example
 * ```ts
 * const demand = new RateEstimate(60_000);
 * demand.add(120, now);
 * demand.perSecond(now);
 * ```
 */
export class RateEstimate {
  private weighted = 0;
  private updatedAt: number | undefined;

  /** @param halfLifeMilliseconds After this long, an amount counts half. */
  constructor(private readonly halfLifeMilliseconds: number) {}

  /** Adds an amount at a time of the caller's monotonic clock. */
  add(amount: number, nowMilliseconds: number): void {
    this.decay(nowMilliseconds);
    this.weighted += amount;
  }

  /** The rate a second. */
  perSecond(nowMilliseconds: number): number {
    this.decay(nowMilliseconds);
    const mean = this.halfLifeMilliseconds / Math.LN2;
    return (this.weighted * MILLISECONDS_PER_SECOND) / mean;
  }

  private decay(nowMilliseconds: number): void {
    const elapsed = nowMilliseconds - (this.updatedAt ?? nowMilliseconds);
    if (elapsed > 0) {
      this.weighted *= 0.5 ** (elapsed / this.halfLifeMilliseconds);
    }
    this.updatedAt = Math.max(nowMilliseconds, this.updatedAt ?? 0);
  }
}

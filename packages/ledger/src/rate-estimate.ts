const MILLISECONDS_PER_SECOND = 1_000;
const YOUNGEST_AGE = 10_000;

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
  private startedAt: number | undefined;
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
    const age = nowMilliseconds - (this.startedAt ?? nowMilliseconds);
    // A young estimate has only seen part of the span that it stands for; a few
    // seconds of it would give any rate at all.
    const seen =
      1 - 0.5 ** (Math.max(age, YOUNGEST_AGE) / this.halfLifeMilliseconds);
    const mean = (this.halfLifeMilliseconds / Math.LN2) * seen;
    return (this.weighted * MILLISECONDS_PER_SECOND) / mean;
  }

  private decay(nowMilliseconds: number): void {
    this.startedAt ??= nowMilliseconds;
    const elapsed = nowMilliseconds - (this.updatedAt ?? nowMilliseconds);
    if (elapsed > 0) {
      this.weighted *= 0.5 ** (elapsed / this.halfLifeMilliseconds);
    }
    this.updatedAt = Math.max(nowMilliseconds, this.updatedAt ?? 0);
  }
}

const MILLISECONDS_PER_SECOND = 1_000;
const MINIMUM_AGE_MILLISECONDS = 10_000;

/**
 * Estimates a rate with exponential decay, so that mainly the amounts of the
 * last few half-lives count.
 *
 * @example
 * ```ts
 * const demand = new RateEstimate(60_000);
 * demand.add(120, now);
 * demand.perSecond(now);
 * ```
 */
export class RateEstimate {
  private weightedAmount = 0;
  private startedAtMilliseconds: number | undefined;
  private updatedAtMilliseconds: number | undefined;

  /**
   * @param halfLifeMilliseconds Time after which the weight of an amount
   *     halves.
   * @param minimumAgeMilliseconds Time after the first amount from which the estimate
   *     counts in full; it is too low before.
   */
  constructor(
    private readonly halfLifeMilliseconds: number,
    private readonly minimumAgeMilliseconds = MINIMUM_AGE_MILLISECONDS,
  ) {}

  /** Adds an amount at the given time of a monotonic clock. */
  add(amount: number, nowMilliseconds: number): void {
    this.decay(nowMilliseconds);
    this.weightedAmount += amount;
  }

  /** Returns the estimated rate per second. */
  perSecond(nowMilliseconds: number): number {
    this.decay(nowMilliseconds);
    const ageMilliseconds =
      nowMilliseconds - (this.startedAtMilliseconds ?? nowMilliseconds);
    // A recently started estimate covers only part of its window. The minimum
    // age prevents arbitrary rates from the amounts of a few seconds.
    const observedFraction =
      1 -
      0.5 **
        (Math.max(ageMilliseconds, this.minimumAgeMilliseconds) /
          this.halfLifeMilliseconds);
    const windowMilliseconds =
      (this.halfLifeMilliseconds / Math.LN2) * observedFraction;
    return (this.weightedAmount * MILLISECONDS_PER_SECOND) / windowMilliseconds;
  }

  private decay(nowMilliseconds: number): void {
    this.startedAtMilliseconds ??= nowMilliseconds;
    const elapsedMilliseconds =
      nowMilliseconds - (this.updatedAtMilliseconds ?? nowMilliseconds);
    if (elapsedMilliseconds > 0) {
      this.weightedAmount *=
        0.5 ** (elapsedMilliseconds / this.halfLifeMilliseconds);
    }
    this.updatedAtMilliseconds = Math.max(
      nowMilliseconds,
      this.updatedAtMilliseconds ?? 0,
    );
  }
}

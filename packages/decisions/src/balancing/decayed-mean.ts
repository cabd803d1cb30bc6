/**
 * Mean of observations that lose their weight exponentially with age.
 *
 * @example
 * ```ts
 * const mean = new DecayedMean(20_000, 2);
 * mean.observe(1.2, 1, now);
 * mean.valueAt(now + 60_000, {value: 0, weight: 0.5}); // close to 0 again
 * ```
 */
export class DecayedMean {
  private mean = 0;
  private weight = 0;
  private at = -Infinity;

  /**
   * @param memoryMilliseconds Time in which a weight falls to 1/e.
   * @param maximumWeight Bound on the weight of past observations, so that new ones
   *     count.
   */
  constructor(
    private readonly memoryMilliseconds: number,
    private readonly maximumWeight: number,
  ) {}

  /** When it was last observed, on the monotonic clock in milliseconds. */
  get observedAt(): number {
    return this.at;
  }

  /** Adds an observation. */
  observe(value: number, weight: number, now: number): void {
    const before = Math.min(this.maximumWeight, this.weightAt(now));
    this.weight = before + weight;
    this.mean += ((value - this.mean) * weight) / this.weight;
    this.at = now;
  }

  /** The mean together with what is assumed without observations. */
  valueAt(
    now: number,
    prior: {readonly value: number; readonly weight: number},
  ): number {
    const weight = this.weightAt(now);
    return (
      (weight * this.mean + prior.weight * prior.value) /
      (weight + prior.weight)
    );
  }

  private weightAt(now: number): number {
    return this.weight === 0
      ? 0
      : this.weight * Math.exp((this.at - now) / this.memoryMilliseconds);
  }
}

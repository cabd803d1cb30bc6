/**
 * A token bucket for the weight store's rate limit. When a new version has to
 * reach every engine, fetches beyond the limit would be refused one by one, and
 * those of an engine that has crashed would wait behind them.
 */
export class WeightBudget {
  private availableTokens: number;
  private refilledAt: number;

  /**
   * @param burst Number of fetches that may start at once.
   * @param intervalMilliseconds Time after which one more fetch may start.
   */
  constructor(
    private readonly burst: number,
    private readonly intervalMilliseconds: number,
    now: number,
  ) {
    this.availableTokens = burst;
    this.refilledAt = now;
  }

  /**
   * Takes a token for one fetch.
   *
   * @returns False if the bucket is empty.
   */
  tryTake(now: number): boolean {
    this.refill(now);
    if (this.availableTokens < 1) {
      return false;
    }
    this.availableTokens--;
    return true;
  }

  /**
   * Records a refusal by the store: no fetch may start before the given delay.
   */
  recordRefusal(retryAfterMilliseconds: number, now: number): void {
    this.availableTokens = 0;
    this.refilledAt = now + retryAfterMilliseconds - this.intervalMilliseconds;
  }

  /** Returns when the next fetch may start. */
  nextAt(now: number): number {
    this.refill(now);
    return this.availableTokens >= 1
      ? now
      : this.refilledAt +
          (1 - this.availableTokens) * this.intervalMilliseconds;
  }

  private refill(now: number): void {
    const elapsed = now - this.refilledAt;
    if (elapsed <= 0) {
      return;
    }
    const filled = this.availableTokens + elapsed / this.intervalMilliseconds;
    this.availableTokens = Math.min(this.burst, filled);
    this.refilledAt = now;
  }
}

/**
 * A token bucket over the weight store's rate limit. Load: a new version has to
 * reach every engine. Harm: fetches beyond the limit are refused one by one, and
 * those of an engine that has crashed wait behind them.
 */
export class WeightBudget {
  private available: number;
  private filledAt: number;

  /**
   * @param burst Fetches that may begin at once.
   * @param intervalMilliseconds Time in which one more may begin.
   */
  constructor(
    private readonly burst: number,
    private readonly intervalMilliseconds: number,
    now: number,
  ) {
    this.available = burst;
    this.filledAt = now;
  }

  /** Takes leave for one fetch; false where none is left. */
  take(now: number): boolean {
    this.fill(now);
    if (this.available < 1) {
      return false;
    }
    this.available--;
    return true;
  }

  /** The store itself refused: nothing is left until then. */
  refused(retryAfterMilliseconds: number, now: number): void {
    this.available = 0;
    this.filledAt = now + retryAfterMilliseconds - this.intervalMilliseconds;
  }

  /** When one fetch may begin. */
  nextAt(now: number): number {
    this.fill(now);
    return this.available >= 1
      ? now
      : this.filledAt + (1 - this.available) * this.intervalMilliseconds;
  }

  private fill(now: number): void {
    const elapsed = now - this.filledAt;
    if (elapsed <= 0) {
      return;
    }
    const filled = this.available + elapsed / this.intervalMilliseconds;
    this.available = Math.min(this.burst, filled);
    this.filledAt = now;
  }
}

import {RateEstimate} from '@wisteriadeal/ledger';

/** Half-life of spending in the rate. Hosts report their spending every few seconds. */
const HALF_LIFE_MILLISECONDS = 7_000;
/** An outage may begin a few seconds after the first request of a day. */
const MINIMUM_AGE_MILLISECONDS = 3_000;

/**
 * Rate at which an organisation's budget is spent by all hosts, from the log's view.
 *
 * @example
 * ```ts
 * usage.observe(view.spent, now);
 * usage.perSecond(now); // tokens per second
 * ```
 */
export class FleetUsage {
  private readonly rate = new RateEstimate(
    HALF_LIFE_MILLISECONDS,
    MINIMUM_AGE_MILLISECONDS,
  );
  private spent: number | undefined;

  /**
   * Records the tokens that are known to be spent. They decrease when a borrower reports
   * the tokens of a loan that the lender has recorded.
   *
   * @param now Monotonic time, milliseconds.
   */
  observe(spent: number, now: number): void {
    if (this.spent !== undefined && spent !== this.spent) {
      this.rate.add(spent - this.spent, now);
    }
    this.spent = spent;
  }

  /**
   * Tokens that all hosts spend per second.
   *
   * @param now Monotonic time, milliseconds.
   */
  perSecond(now: number): number {
    return Math.max(0, this.rate.perSecond(now));
  }
}

import {RateEstimate} from '@wisteriadeal/ledger';

import {FleetUsage} from './fleet-usage.js';

/**
 * Half-life of reservations in the usage rate. An organisation may send seven times its
 * usual load for some seconds before the store becomes unavailable. With a longer
 * half-life the host holds too few tokens by then; with a shorter one a single long
 * prompt is mistaken for a trend.
 */
const USAGE_HALF_LIFE_MILLISECONDS = 7_000;
/** An outage may begin a few seconds after the first request of a day. */
const RECENT_USAGE_AGE_MILLISECONDS = 3_000;
/** Number of requests over which the bound is averaged; sizes vary twentyfold. */
const BOUND_SMOOTHING_REQUESTS = 8;

/**
 * A process's account of the tokens that it holds of one organisation's budget.
 *
 * `granted + borrowed = available + reserved + spent + returned + lent` holds at all
 * times. Tokens are deducted from `available` before anything is delivered, sent or
 * returned. Promised tokens are not part of that sum.
 */
export class GrantAccount {
  /** What all hosts use of the budget. */
  readonly fleetUsage = new FleetUsage();
  private availableTokens = 0;
  private promisedTokens = 0;
  private reservedTokens = 0;
  private spentTokens = 0;
  private smoothedBound = 0;
  private readonly rate = new RateEstimate(USAGE_HALF_LIFE_MILLISECONDS);
  private readonly recentRate = new RateEstimate(
    USAGE_HALF_LIFE_MILLISECONDS,
    RECENT_USAGE_AGE_MILLISECONDS,
  );
  private readonly squareRate = new RateEstimate(USAGE_HALF_LIFE_MILLISECONDS);

  /** Tokens that a new request may reserve. */
  get available(): number {
    return this.availableTokens;
  }

  /** Sum of the bounds of running requests whose tokens are not reserved yet. */
  get promised(): number {
    return this.promisedTokens;
  }

  /** Available tokens less promised ones; negative if the promises exceed them. */
  get unpromised(): number {
    return this.availableTokens - this.promisedTokens;
  }

  /** Tokens reserved by requests that have not ended. */
  get reserved(): number {
    return this.reservedTokens;
  }

  /** Tokens spent by requests that have ended. */
  get spent(): number {
    return this.spentTokens;
  }

  /** Unspent tokens: available or reserved. */
  get held(): number {
    return this.availableTokens + this.reservedTokens;
  }

  /** Moving average of recent requests' bounds, in tokens. */
  get meanBound(): number {
    return this.smoothedBound;
  }

  /**
   * Tokens that requests recently reserved per second. Their actual use is known only
   * when they end, seconds later; it is nine tenths of the reserved amount.
   *
   * @param now Monotonic time, milliseconds.
   */
  usagePerSecond(now: number): number {
    return this.rate.perSecond(now);
  }

  /**
   * The same rate, which counts in full three seconds after the first request instead of
   * ten; a few requests may make it too high then.
   *
   * @param now Monotonic time, milliseconds.
   */
  earlyUsagePerSecond(now: number): number {
    return this.recentRate.perSecond(now);
  }

  /**
   * Standard deviation of the tokens that requests reserve in a time, if they arrive
   * independently of each other.
   *
   * @param now Monotonic time, milliseconds.
   */
  usageDeviation(now: number, seconds: number): number {
    return Math.sqrt(this.squareRate.perSecond(now) * seconds);
  }

  /** Adds tokens granted or borrowed. */
  credit(tokens: number): void {
    this.availableTokens += tokens;
  }

  /**
   * Deducts tokens that are to be returned or lent.
   *
   * @returns Tokens deducted; never more than are available.
   */
  debit(tokens: number): number {
    const debited = Math.max(0, Math.min(tokens, this.availableTokens));
    this.availableTokens -= debited;
    return debited;
  }

  /** Reserves a request's bound; returns false if too few tokens are available. */
  reserve(bound: number, now: number): boolean {
    if (!this.moveToReserved(bound)) {
      return false;
    }
    this.recordBound(bound, now);
    return true;
  }

  /** Starts a request whose bound is reserved only when its answer is delivered. */
  promise(bound: number, now: number): void {
    this.promisedTokens += bound;
    this.recordBound(bound, now);
  }

  /**
   * Reserves a promised bound before anything is delivered.
   *
   * @returns False if too few tokens are available; the promise then remains.
   */
  reservePromised(bound: number): boolean {
    if (!this.moveToReserved(bound)) {
      return false;
    }
    this.promisedTokens -= bound;
    return true;
  }

  /** Ends a promised request of which nothing was delivered. */
  cancelPromise(bound: number): void {
    this.promisedTokens -= bound;
  }

  /**
   * Ends a reservation. Use beyond the bound is charged to the available tokens; it
   * cannot occur with an endpoint that respects the limit in its request.
   */
  settle(bound: number, used: number): void {
    this.reservedTokens -= bound;
    this.availableTokens += bound - used;
    this.spentTokens += used;
  }

  private moveToReserved(bound: number): boolean {
    if (bound > this.availableTokens) {
      return false;
    }
    this.availableTokens -= bound;
    this.reservedTokens += bound;
    return true;
  }

  private recordBound(bound: number, now: number): void {
    this.rate.add(bound, now);
    this.recentRate.add(bound, now);
    this.squareRate.add(bound ** 2, now);
    this.smoothedBound =
      this.smoothedBound === 0
        ? bound
        : this.smoothedBound +
          (bound - this.smoothedBound) / BOUND_SMOOTHING_REQUESTS;
  }
}

import {RateEstimate} from '@wisteriadeal/ledger';

/**
 * What was reserved so long ago counts half. Load: an organisation sends seven times
 * its usual for some seconds, then the store goes away. Harm: a longer mean holds too
 * little by then; a shorter one takes one long prompt for a trend.
 */
const USE_HALF_LIFE_MILLISECONDS = 7_000;
/** Requests over which the usual bound is averaged; sizes differ twentyfold. */
const MEAN_REQUESTS = 8;

/**
 * A process's own account of what it holds of one organisation's budget.
 *
 * `granted + borrowed = available + reserved + spent + returned + lent` at all times; tokens are
 * taken off `available` before anything is delivered, sent or returned. Promised
 * tokens are no part of that sum.
 */
export class GrantAccount {
  private availableTokens = 0;
  private promisedTokens = 0;
  private reservedTokens = 0;
  private spentTokens = 0;
  private meanBound = 0;
  private readonly rate = new RateEstimate(USE_HALF_LIFE_MILLISECONDS);

  /** Tokens that a new request may take. */
  get available(): number {
    return this.availableTokens;
  }

  /** Bounds of requests that run and whose tokens were not taken yet. */
  get promised(): number {
    return this.promisedTokens;
  }

  /** Tokens that are left once all promises are kept from here; may be negative. */
  get unpromised(): number {
    return this.availableTokens - this.promisedTokens;
  }

  /** Tokens of requests that have not ended. */
  get reserved(): number {
    return this.reservedTokens;
  }

  /** Tokens of requests that have ended. */
  get spent(): number {
    return this.spentTokens;
  }

  /** Tokens that are not spent: available, or reserved. */
  get held(): number {
    return this.availableTokens + this.reservedTokens;
  }

  /** The bound of a usual request: the mean of some recent ones. */
  get usualBound(): number {
    return this.meanBound;
  }

  /**
   * Tokens that requests put aside in a second, lately. What they use is known only
   * when they end, seconds later; it is nine tenths of that.
   */
  usagePerSecond(now: number): number {
    return this.rate.perSecond(now);
  }

  /** Adds what the fold granted. */
  credit(tokens: number): void {
    this.availableTokens += tokens;
  }

  /** Takes tokens off, to return them; never more than are available. */
  debit(tokens: number): number {
    const taken = Math.max(0, Math.min(tokens, this.availableTokens));
    this.availableTokens -= taken;
    return taken;
  }

  /** Puts a request's bound aside; false where there isn't enough. */
  reserve(bound: number, now: number): boolean {
    if (!this.setAside(bound)) {
      return false;
    }
    this.learn(bound, now);
    return true;
  }

  /** A request of this bound begins; nothing is taken until it delivers. */
  promise(bound: number, now: number): void {
    this.promisedTokens += bound;
    this.learn(bound, now);
  }

  /** Puts a promised bound aside, before anything is delivered; false as above. */
  keepPromise(bound: number): boolean {
    if (!this.setAside(bound)) {
      return false;
    }
    this.promisedTokens -= bound;
    return true;
  }

  /** A promised request ends, and nothing of it was delivered. */
  dropPromise(bound: number): void {
    this.promisedTokens -= bound;
  }

  /**
   * Ends a reservation. Use beyond the bound can't come from an endpoint that
   * keeps the limit it was told; it is charged to what is available.
   */
  settle(bound: number, used: number): void {
    this.reservedTokens -= bound;
    this.availableTokens += bound - used;
    this.spentTokens += used;
  }

  private setAside(bound: number): boolean {
    if (bound > this.availableTokens) {
      return false;
    }
    this.availableTokens -= bound;
    this.reservedTokens += bound;
    return true;
  }

  private learn(bound: number, now: number): void {
    this.rate.add(bound, now);
    this.meanBound =
      this.meanBound === 0
        ? bound
        : this.meanBound + (bound - this.meanBound) / MEAN_REQUESTS;
  }
}

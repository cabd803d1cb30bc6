import {
  ChargePoint,
  GrantAccount,
  LenderKnowledge,
  LoanBackoff,
  RefillBackoff,
  type BudgetView,
  type Reservation,
} from '@wisteriadeal/budgets';
import {NetworkTimeout, type Clock} from '@wisteriadeal/platform';

import {
  TokenUse,
  TokenWaiters,
  type BudgetRefusal,
  type TokenWaiter,
} from './token-waiters.js';

/** A reservation, or the reason for refusing it; the request has not run then. */
export type ReserveResult =
  {readonly reservation: Reservation} | {readonly refusal: BudgetRefusal};

/** A new request's need for tokens. */
export interface TokenRequest {
  /** Maximum number of tokens that the request can use. */
  readonly bound: number;
  /** Whether the request costs nothing if nothing is delivered. */
  readonly mayPromise: boolean;
  /** Time left until the request's deadline; unlimited by default. */
  readonly remainingMilliseconds?: number;
}

/** How long a request waits for tokens. */
export interface WaitLimit {
  readonly milliseconds: number;
  /** How long it waits if its tokens are granted by then, beyond a ceiling. */
  readonly longestMilliseconds?: number;
  /** Ends the wait early, when the caller has disconnected. */
  readonly signal?: AbortSignal;
  /** Returns the reason for the refusal when the wait ends without tokens. */
  refusal(): BudgetRefusal;
}

/**
 * Unreported spending beyond this part of a budget is reported on the log. Without this,
 * callers near the end of a budget are told to retry for tokens that have been spent.
 */
const REPORT_THRESHOLD_PART = 0.01;

/** One organisation's budget in this process. */
export class OrganisationBudget {
  readonly account = new GrantAccount();
  /** Whether no record has reported the current configuration's budget to the fold. */
  hasUnreportedBudget = true;
  /** Whether a grant request is waiting for its verdict. */
  isRequesting = false;
  /**
   * Minimum tokens of the last grant request if it was made for waiting requests;
   * undefined if it was a refill or a report.
   */
  requestedForWaiting: number | undefined;
  /** Whether the last grant request was a refill; a report requests no tokens. */
  isRefillRequested = false;
  /** Limits how often refills are requested from the log. */
  readonly refillBackoff = new RefillBackoff();
  /** Whether tokens are granted that may be used only below a higher ceiling. */
  isGrantWithheld = false;
  isBorrowing = false;
  /** What other holders could still lend. */
  readonly lenderKnowledge = new LenderKnowledge();
  /** Limits rounds of loans that serve no request. */
  readonly loanBackoff = new LoanBackoff();
  /** Number of loans whose answers this host's own link delays and that may arrive. */
  lateLoanCount = 0;
  /** Earliest monotonic time of the next grant request after a denial, milliseconds. */
  retryAt = 0;
  /** Spent tokens that this process had at its last report to the fold. */
  reportedSpent = 0;
  readonly waiters = new TokenWaiters();

  constructor(
    readonly name: string,
    public prepaid: number,
    public configurationVersion: number,
    private readonly clock: Clock,
  ) {}

  /** Bound of the first waiting request, in tokens; 0 if none waits. */
  get firstBound(): number {
    return this.waiters.first?.bound ?? 0;
  }

  /** Shortfall of the first waiting request, in tokens. */
  get firstShortfall(): number {
    return this.shortfallFor(this.firstBound);
  }

  /** Tokens by which a bound exceeds those that are available and not promised. */
  shortfallFor(bound: number): number {
    return bound - Math.min(bound, Math.max(0, this.account.unpromised));
  }

  /** Promises tokens to a request; they are reserved when its answer is ready. */
  promise(bound: number): Reservation {
    this.account.promise(bound, this.now());
    return this.reservation(bound, ChargePoint.Delivery);
  }

  /**
   * Reserves a new request's tokens if no request waits before it.
   *
   * @param minimumLeft Tokens that must stay available.
   * @returns Undefined if a request waits before it or too few tokens are available.
   */
  tryReserve(bound: number, minimumLeft: number): Reservation | undefined {
    const {account, waiters} = this;
    if (
      waiters.hasWaiterBefore(TokenUse.Dispatch) ||
      bound + minimumLeft > account.available ||
      !account.reserve(bound, this.now())
    ) {
      return undefined;
    }
    return this.reservation(bound, ChargePoint.Dispatch);
  }

  /** Reserves a new request's tokens as soon as they are available. */
  async reserveWhenAvailable(
    bound: number,
    limit: WaitLimit,
  ): Promise<ReserveResult> {
    const waiting = {bound, use: TokenUse.Dispatch};
    const refusal = await this.waitForTokens(waiting, limit);
    return refusal === undefined
      ? {reservation: this.reservation(bound, ChargePoint.Dispatch)}
      : {refusal};
  }

  /** Reserves promised tokens if no answer waits before this one. */
  tryReservePromised(bound: number): boolean {
    return (
      !this.waiters.hasWaiterBefore(TokenUse.Delivery) &&
      this.account.reservePromised(bound)
    );
  }

  /**
   * Reserves promised tokens as soon as they are available.
   *
   * @returns Undefined once they are reserved; else the refusal, and the promise remains.
   */
  reservePromisedWhenAvailable(
    bound: number,
    limit: WaitLimit,
  ): Promise<BudgetRefusal | undefined> {
    const waiting = {bound, use: TokenUse.Delivery};
    return this.waitForTokens(waiting, limit);
  }

  /** Adds tokens and serves waiting requests in order. */
  credit(tokens: number): void {
    this.account.credit(tokens);
    this.serveWaiting();
  }

  /**
   * Refuses the undispatched requests that the available tokens do not cover, in order. A
   * large request must not cause the refusal of smaller ones behind it that fit.
   */
  refuseUnservable(refusal: BudgetRefusal): void {
    for (;;) {
      const {first} = this.waiters;
      if (first?.use !== TokenUse.Dispatch) {
        this.waiters.refuseUndispatched(refusal);
        return;
      }
      this.waiters.remove(first, refusal);
      this.serveWaiting();
    }
  }

  /** Ends a request; the unused part of its bound serves waiting requests. */
  settle({bound, chargePoint}: Reservation, used: number): void {
    if (chargePoint === ChargePoint.Delivery) {
      this.account.cancelPromise(bound);
      return;
    }
    this.account.settle(bound, used);
    this.serveWaiting();
  }

  /** Whether so much spending is unreported that other holders would refuse wrongly. */
  get isReportDue(): boolean {
    const unreported = this.account.spent - this.reportedSpent;
    return unreported > REPORT_THRESHOLD_PART * this.prepaid;
  }

  /** Whether the tokens not known to be spent, by any holder, are fewer than a bound. */
  isExhausted(view: BudgetView | undefined, bound: number): boolean {
    const prepaid = Math.max(view?.prepaid ?? 0, this.prepaid);
    const unreported = this.account.spent - this.reportedSpent;
    return prepaid - (view?.spent ?? 0) - unreported < bound;
  }

  /** Whether the log has enough for a request and is being asked or can be asked now. */
  expectsGrant(view: BudgetView | undefined, bound: number): boolean {
    return (
      (this.isRequesting || this.mayRequestForWaiting(this.now())) &&
      (view?.unallocated ?? 0) >= this.shortfallFor(bound)
    );
  }

  /** Whether requests wait and a grant may be requested for them now. */
  mayRequestForWaiting(now: number): boolean {
    return this.waiters.count > 0 && !this.isRequesting && now >= this.retryAt;
  }

  /**
   * Whether the log's last denial applies to the first waiting request. The denial of a
   * refill that was requested before this request arrived does not apply to it.
   */
  isFirstWaitingDenied(view: BudgetView | undefined): boolean {
    const {requestedForWaiting, firstShortfall} = this;
    return (
      (view?.unallocated ?? 0) < firstShortfall ||
      (requestedForWaiting !== undefined &&
        requestedForWaiting <= firstShortfall)
    );
  }

  private waitForTokens(
    waiting: Omit<TokenWaiter, 'done'>,
    limit: WaitLimit,
  ): Promise<BudgetRefusal | undefined> {
    if (limit.signal?.aborted === true) {
      return Promise.resolve(limit.refusal());
    }
    return new Promise(resolve => {
      const stopWaiting = () => {
        this.waiters.remove(waiter, limit.refusal());
      };
      const longest = limit.longestMilliseconds ?? limit.milliseconds;
      let timeout = new NetworkTimeout(limit.milliseconds, () => {
        if (this.isGrantWithheld && longest > limit.milliseconds) {
          const left = longest - limit.milliseconds;
          timeout = new NetworkTimeout(left, stopWaiting);
        } else {
          stopWaiting();
        }
      });
      limit.signal?.addEventListener('abort', stopWaiting);
      const waiter: TokenWaiter = {
        ...waiting,
        done: refusal => {
          timeout.close();
          limit.signal?.removeEventListener('abort', stopWaiting);
          resolve(refusal);
        },
      };
      this.waiters.add(waiter);
    });
  }

  private serveWaiting(): void {
    for (;;) {
      const {first} = this.waiters;
      if (first === undefined || !this.reserveFor(first)) {
        return;
      }
      this.waiters.remove(first);
    }
  }

  private reserveFor({bound, use}: TokenWaiter): boolean {
    return use === TokenUse.Delivery
      ? this.account.reservePromised(bound)
      : this.account.reserve(bound, this.now());
  }

  private reservation(bound: number, chargePoint: ChargePoint): Reservation {
    return {organisation: this.name, bound, chargePoint};
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

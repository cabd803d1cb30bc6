import {
  ChargePoint,
  GrantAccount,
  RefillPacing,
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

/** A reservation, or why there is none. The latter means that it has not run. */
export type ReserveResult =
  {readonly reservation: Reservation} | {readonly refusal: BudgetRefusal};

/** What of a new request decides on its tokens. */
export interface TokenRequest {
  /** The most that it can use. */
  readonly bound: number;
  /** Whether a request of which nothing is delivered costs nothing. */
  readonly mayPromise: boolean;
  /** Time left to the request; no bound by default. */
  readonly remainingMilliseconds?: number;
}

/** How long a request waits for tokens. */
export interface WaitLimit {
  readonly milliseconds: number;
  /** Ends the wait sooner: the caller has left. */
  readonly signal?: AbortSignal;
  /** Says at the end why there are none. */
  refusal(): BudgetRefusal;
}

/**
 * Use beyond this part of a budget is told to the others. Harm without it: near a
 * budget's end, callers are told to come back for tokens that have been spent.
 */
const REPORT_THRESHOLD_PART = 0.01;

/** One organisation's budget as this process holds it. */
export class OrganisationBudget {
  readonly account = new GrantAccount();
  /** The fold has not been told of this configuration's budget. */
  hasUnreportedBudget = true;
  /** A grant was asked for whose verdict is not known. */
  isRequesting = false;
  /** The least that was last asked for requests that wait; else undefined. */
  requestedForWaiting: number | undefined;
  /** When the log may be asked for more in hand. */
  readonly refillPacing = new RefillPacing();
  isBorrowing = false;
  /** Loans whose answers are late at this host's own link and still awaited. */
  lateLoanCount = 0;
  /** The log has denied a grant: it is not asked again before; monotonic clock. */
  retryAt = 0;
  /** What the fold was last told that this process has spent. */
  reportedSpent = 0;
  readonly waiters = new TokenWaiters();

  constructor(
    readonly name: string,
    public prepaid: number,
    public configurationVersion: number,
    private readonly clock: Clock,
  ) {}

  /** The most that the first request that waits can use; 0 where none does. */
  get firstBound(): number {
    return this.waiters.first?.bound ?? 0;
  }

  /** The shortfall of the first request that waits. */
  get firstShortfall(): number {
    return this.shortfallFor(this.firstBound);
  }

  /** Tokens by which a bound exceeds those available and not promised. */
  shortfallFor(bound: number): number {
    return bound - Math.min(bound, Math.max(0, this.account.unpromised));
  }

  /** Lets a request begin whose tokens are taken when its answer is there. */
  promise(bound: number): Reservation {
    this.account.promise(bound, this.now());
    return this.reservation(bound, ChargePoint.Delivery);
  }

  /**
   * Takes a new request's tokens where nobody waits before it.
   *
   * @param minimumLeft Tokens that must be left in hand.
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

  /** Takes a new request's tokens when they come. */
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

  /** Takes promised tokens where no answer waits before this one. */
  tryReservePromised(bound: number): boolean {
    return (
      !this.waiters.hasWaiterBefore(TokenUse.Delivery) &&
      this.account.keepPromise(bound)
    );
  }

  /**
   * Takes promised tokens when they come.
   *
   * @returns Undefined once they are taken; else the promise stands.
   */
  reservePromisedWhenAvailable(
    bound: number,
    limit: WaitLimit,
  ): Promise<BudgetRefusal | undefined> {
    const waiting = {bound, use: TokenUse.Delivery};
    return this.waitForTokens(waiting, limit);
  }

  /** Adds tokens and serves those that wait, in order. */
  credit(tokens: number): void {
    this.account.credit(tokens);
    this.serveWaiting();
  }

  /** Ends a request; what is left of its bound serves those that wait. */
  settle({bound, chargePoint}: Reservation, used: number): void {
    if (chargePoint === ChargePoint.Delivery) {
      this.account.dropPromise(bound);
      return;
    }
    this.account.settle(bound, used);
    this.serveWaiting();
  }

  /** The others' view of this budget is too old to refuse by. */
  get isReportDue(): boolean {
    const untold = this.account.spent - this.reportedSpent;
    return untold > REPORT_THRESHOLD_PART * this.prepaid;
  }

  /** Whether what is known to be spent leaves too little, whoever holds the rest. */
  isExhausted(view: BudgetView | undefined, bound: number): boolean {
    const prepaid = Math.max(view?.prepaid ?? 0, this.prepaid);
    const untold = this.account.spent - this.reportedSpent;
    return prepaid - (view?.spent ?? 0) - untold < bound;
  }

  /** Whether the log has enough for a request, and is asked now or next. */
  expectsGrant(view: BudgetView | undefined, bound: number): boolean {
    return (
      (this.isRequesting || this.mayRequestForWaiting(this.now())) &&
      (view?.unallocated ?? 0) >= this.shortfallFor(bound)
    );
  }

  /** Whether requests wait and the log may be asked for them now. */
  mayRequestForWaiting(now: number): boolean {
    return this.waiters.count > 0 && !this.isRequesting && now >= this.retryAt;
  }

  /**
   * Whether the log's denial of what was last asked denies the first that waits. What
   * was asked before it came, for more in hand, says nothing of it.
   */
  isFirstWaitingDenied(view: BudgetView | undefined): boolean {
    const {
      requestedForWaiting: askedForWaiting,
      firstShortfall: firstShortfall,
    } = this;
    return (
      (view?.unallocated ?? 0) < firstShortfall ||
      (askedForWaiting !== undefined && askedForWaiting <= firstShortfall)
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
      const giveUp = () => {
        this.waiters.remove(waiter, limit.refusal());
      };
      const timeout = new NetworkTimeout(limit.milliseconds, giveUp);
      limit.signal?.addEventListener('abort', giveUp);
      const waiter: TokenWaiter = {
        ...waiting,
        done: refusal => {
          timeout.close();
          limit.signal?.removeEventListener('abort', giveUp);
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
      ? this.account.keepPromise(bound)
      : this.account.reserve(bound, this.now());
  }

  private reservation(bound: number, chargePoint: ChargePoint): Reservation {
    return {organisation: this.name, bound, chargePoint};
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

import {
  GrantAccount,
  type BudgetView,
  type Reservation,
} from '@wisteriadeal/budgets';
import type {Clock} from '@wisteriadeal/platform';

/** Why a request got no reservation. All mean that it has not run. */
export enum BudgetRefusal {
  /** What is known to be spent leaves less than the request may use. */
  Exhausted = 'budget-exhausted',
  /** The rest may be held elsewhere, or by requests that have not ended. */
  HeldElsewhere = 'budget-held-elsewhere',
  /** The store, which alone gives grants, does not answer. */
  StoreAway = 'budget-store-away',
}

/** A reservation, or why there is none. */
export type ReserveResult =
  {readonly reservation: Reservation} | {readonly refusal: BudgetRefusal};

/**
 * Use beyond this part of a budget is told to the others. Harm without it: near a
 * budget's end, callers were told to come back for tokens that had been spent, 266
 * times on a calm day.
 */
const REPORTED_PART = 0.01;

interface Waiting {
  readonly bound: number;
  readonly resolve: (result: ReserveResult) => void;
  timer: NodeJS.Timeout | undefined;
}

/** One organisation's budget as this process holds it. */
export class OrganisationBudget {
  readonly account = new GrantAccount();
  /** The fold has not been told of this configuration's budget. */
  isUntold = true;
  /** A grant was asked for whose verdict is not known. */
  isAsking = false;
  isBorrowing = false;
  /** The log has denied a grant: it is not asked again before; monotonic clock. */
  askAfter = 0;
  /** What the fold was last told that this process has spent. */
  reportedSpent = 0;
  private readonly waiting: Waiting[] = [];

  constructor(
    readonly name: string,
    public prepaid: number,
    public configurationVersion: number,
    private readonly clock: Clock,
  ) {}

  /** Requests that wait for tokens. */
  get waitingRequests(): number {
    return this.waiting.length;
  }

  /** The most that the requests that wait can use, together. */
  get waitingTokens(): number {
    return this.waiting.reduce((sum, {bound}) => sum + bound, 0);
  }

  /** The most that the first request that waits can use; 0 where none does. */
  get firstBound(): number {
    return this.waiting[0]?.bound ?? 0;
  }

  /** Takes a reservation where nobody waits before it and the account covers it. */
  reserveNow(bound: number): Reservation | undefined {
    return this.waiting.length === 0 && this.reserve(bound)
      ? {organisation: this.name, bound}
      : undefined;
  }

  /**
   * Waits until tokens come, or `limitMilliseconds` are over.
   *
   * @param refusal Says then why there are none.
   */
  reserveLater(
    bound: number,
    limitMilliseconds: number,
    refusal: () => BudgetRefusal,
  ): Promise<ReserveResult> {
    return new Promise(resolve => {
      const entry: Waiting = {bound, resolve, timer: undefined};
      entry.timer = setTimeout(() => {
        this.refuse(entry, refusal());
      }, limitMilliseconds);
      this.waiting.push(entry);
    });
  }

  /** Adds tokens and serves those that wait, in order. */
  credit(tokens: number): void {
    this.account.credit(tokens);
    this.serveWaiting();
  }

  /** Ends a reservation; what is left of it serves those that wait. */
  settle(bound: number, used: number): void {
    this.account.settle(bound, used);
    this.serveWaiting();
  }

  /** Refuses the first that waits. */
  refuseFirst(refusal: BudgetRefusal): void {
    const [first] = this.waiting;
    if (first !== undefined) {
      this.refuse(first, refusal);
    }
  }

  /** Refuses all that wait. */
  refuseAll(refusal: BudgetRefusal): void {
    for (const entry of [...this.waiting]) {
      this.refuse(entry, refusal);
    }
  }

  /** The others' view of this budget is too old to refuse by. */
  get isReportDue(): boolean {
    const untold = this.account.spent - this.reportedSpent;
    return untold > REPORTED_PART * this.prepaid;
  }

  /** Whether what is known to be spent leaves too little, whoever holds the rest. */
  isExhausted(view: BudgetView | undefined, bound: number): boolean {
    const prepaid = Math.max(view?.prepaid ?? 0, this.prepaid);
    const untold = this.account.spent - this.reportedSpent;
    return prepaid - (view?.spent ?? 0) - untold < bound;
  }

  /** Whether the log has enough for a request: only its answer is missing. */
  awaitsLog(view: BudgetView | undefined, bound: number): boolean {
    return this.isAsking && (view?.unallocated ?? 0) >= bound;
  }

  private reserve(bound: number): boolean {
    return this.account.reserve(bound, this.clock.monotonicMilliseconds());
  }

  private serveWaiting(): void {
    for (;;) {
      const [first] = this.waiting;
      if (first === undefined || !this.reserve(first.bound)) {
        return;
      }
      this.remove(first);
      const {bound} = first;
      first.resolve({reservation: {organisation: this.name, bound}});
    }
  }

  private refuse(entry: Waiting, refusal: BudgetRefusal): void {
    this.remove(entry);
    entry.resolve({refusal});
  }

  private remove(entry: Waiting): void {
    clearTimeout(entry.timer);
    const index = this.waiting.indexOf(entry);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }
}

import {
  leavingSurplus,
  type BudgetView,
  type GrantChange,
  type GrantSizing,
  type GrantVerdict,
} from '@wisteriadeal/budgets';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {BudgetJournal} from './budget-journal.js';
import type {BudgetReplica} from './budget-replica.js';
import type {GrantBorrower} from './grant-borrower.js';
import type {OrganisationBudget} from './organisation-budget.js';
import type {StoreHealth} from './store-health.js';
import {BudgetRefusal} from './token-waiters.js';

/**
 * Pause between a denial for waiting requests and the next request to the log. An
 * organisation at the end of its budget may send many times its usual load. Without the
 * pause the store gets twice as many calls, each with the same answer.
 */
const DENIAL_PAUSE_MILLISECONDS = 250;

/** Plans each organisation's grant requests and returns, and applies the verdicts. */
export class GrantPlanner {
  /** Whether this host's callers are redirected to other hosts. */
  isLeaving = false;

  constructor(
    private readonly journal: BudgetJournal,
    private readonly replica: BudgetReplica,
    private readonly borrower: GrantBorrower,
    private readonly health: StoreHealth,
    private readonly clock: Clock,
    private readonly events: EventLog,
    private readonly sizing: GrantSizing,
    private readonly pooledPart: number,
  ) {}

  /**
   * Requests the tokens that an organisation's callers need, or returns surplus ones.
   * Nothing is returned while the store is unavailable: nobody could use the tokens until
   * the record is written.
   */
  plan(budget: OrganisationBudget): void {
    if (budget.isRequesting) {
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    const {waiters} = budget;
    const view = this.replica.fold.view(budget.name);
    if (waiters.count > 0) {
      if (budget.mayRequestForWaiting(now)) {
        this.requestForWaiting(budget, view);
      }
      return;
    }
    const change = this.planChange(budget, view, now);
    this.returnSurplus(budget, change.returnTokens);
    const isRefillDue =
      change.requestTokens > 0 && budget.refillBackoff.mayRequest(now);
    if (isRefillDue || budget.hasUnreportedBudget || budget.isReportDue) {
      this.requestGrant(
        budget,
        change.requestTokens,
        change.minimumTokens,
        false,
      );
    }
  }

  /** Returns unreserved tokens, at most as many as are available. */
  returnTokens(budget: OrganisationBudget, tokens: number): void {
    const amount = budget.account.debit(tokens);
    if (amount === 0) {
      return;
    }
    budget.reportedSpent = budget.account.spent;
    this.journal.add({
      case: 'returned',
      value: {
        $typeName: 'wisteriadeal.v1.GrantReturned',
        organisation: budget.name,
        amount,
        held: Math.max(0, budget.account.held),
      },
    });
  }

  /** Applies the log's verdict on the last grant request. */
  applyVerdict(budget: OrganisationBudget, verdict: GrantVerdict): void {
    budget.isRequesting = false;
    const now = this.clock.monotonicMilliseconds();
    if (budget.isRefillRequested) {
      budget.refillBackoff.recordVerdict(verdict.granted, now);
    }
    budget.credit(verdict.granted);
    if (verdict.granted > 0 || budget.waiters.count === 0) {
      return;
    }
    const view = this.replica.fold.view(budget.name);
    if (!budget.isFirstWaitingDenied(view)) {
      return;
    }
    budget.retryAt = now + DENIAL_PAUSE_MILLISECONDS;
    this.events.info('grant denied', {
      organisation: budget.name,
      bound: budget.firstBound,
      shortfall: budget.firstShortfall,
      unallocated: view?.unallocated,
      spent: view?.spent,
      prepaid: view?.prepaid,
      offset: this.replica.fold.nextOffset,
    });
    this.handleDenial(budget, view);
  }

  /**
   * Returns a surplus as far as the log attributes it to this process. It would ignore
   * the return of a loan that the lender has not recorded yet.
   */
  private returnSurplus(budget: OrganisationBudget, surplus: number): void {
    if (surplus > 0 && !this.health.isUnavailable) {
      const recorded = this.journal.recordedTokens(budget.name);
      this.returnTokens(budget, Math.min(surplus, recorded));
    }
  }

  private planChange(
    {account, prepaid}: OrganisationBudget,
    view: BudgetView | undefined,
    now: number,
  ): GrantChange {
    const planned = this.sizing.planChange(account, view, prepaid, now);
    const surplus = this.isLeaving ? leavingSurplus(account, view) : undefined;
    return surplus === undefined
      ? planned
      : {
          requestTokens: 0,
          minimumTokens: 0,
          returnTokens: Math.max(surplus, planned.returnTokens),
        };
  }

  /**
   * Requests tokens for all waiting requests at once if the log has them. This matters
   * when all holders together hold the maximum allowed and many requests come to one
   * that has few tokens. If only the first request's tokens were requested, each exchange
   * with the store would serve one request.
   */
  private requestForWaiting(
    budget: OrganisationBudget,
    view: BudgetView | undefined,
  ): void {
    const wish = budget.shortfallFor(budget.waiters.tokens);
    const coversAll = (view?.unallocated ?? 0) >= wish;
    this.requestGrant(
      budget,
      wish,
      coversAll ? wish : budget.firstShortfall,
      true,
    );
  }

  private requestGrant(
    budget: OrganisationBudget,
    wish: number,
    least: number,
    urgent: boolean,
  ): void {
    budget.isRequesting = true;
    budget.requestedForWaiting = urgent ? least : undefined;
    budget.isRefillRequested = !urgent && wish > 0;
    budget.hasUnreportedBudget = false;
    budget.reportedSpent = budget.account.spent;
    this.journal.add({
      case: 'requested',
      value: {
        $typeName: 'wisteriadeal.v1.GrantRequested',
        organisation: budget.name,
        least,
        wish,
        urgent,
        prepaid: budget.prepaid,
        configurationVersion: budget.configurationVersion,
        held: Math.max(0, budget.account.held),
        pooledPart: this.pooledPart,
      },
    });
  }

  /** Borrows only if other holders appear to have the tokens that the log lacks. */
  private handleDenial(
    budget: OrganisationBudget,
    view: BudgetView | undefined,
  ): void {
    const bound = budget.firstBound;
    if (budget.isExhausted(view, bound)) {
      budget.waiters.refuseFirst(BudgetRefusal.Exhausted);
      return;
    }
    const totalHeld = (view?.remaining ?? 0) - (view?.unallocated ?? 0);
    if (totalHeld - budget.account.held >= budget.firstShortfall) {
      void this.borrower.borrow(budget);
    } else {
      budget.waiters.refuseFirst(BudgetRefusal.HeldElsewhere);
    }
  }
}

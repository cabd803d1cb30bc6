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
import {BudgetRefusal} from './token-waiters.js';

/**
 * After a denial the log is not asked for so long. Load: an organisation at its
 * budget's end sends many times its usual. Harm without it: twice as many calls to the
 * store, each with the same answer.
 */
const DENIAL_PAUSE_MILLISECONDS = 250;

/** Decides what is asked of the log for each organisation, and takes its verdicts. */
export class GrantPlanner {
  /** Whether this host's callers are led to other hosts. */
  isLeaving = false;

  constructor(
    private readonly journal: BudgetJournal,
    private readonly replica: BudgetReplica,
    private readonly borrower: GrantBorrower,
    private readonly clock: Clock,
    private readonly events: EventLog,
    private readonly sizing: GrantSizing,
    private readonly pooledPart: number,
  ) {}

  /** Asks for what an organisation's callers need, or gives back what they don't. */
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
    this.returnTokens(budget, change.giveBack);
    const isRefillDue = change.wish > 0 && budget.refillPacing.mayRequest(now);
    if (isRefillDue || budget.hasUnreportedBudget || budget.isReportDue) {
      this.requestGrant(budget, change.wish, change.least, false);
    }
  }

  /** Returns tokens that no request has reserved, as many as there are. */
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

  /** Takes the log's verdict on what was asked. */
  applyVerdict(budget: OrganisationBudget, verdict: GrantVerdict): void {
    budget.isRequesting = false;
    const now = this.clock.monotonicMilliseconds();
    if (budget.requestedForWaiting === undefined) {
      budget.refillPacing.recordVerdict(verdict.granted, now);
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

  private planChange(
    {account, prepaid}: OrganisationBudget,
    view: BudgetView | undefined,
    now: number,
  ): GrantChange {
    const planned = this.sizing.change(account, view, prepaid, now);
    const surplus = this.isLeaving ? leavingSurplus(account, view) : undefined;
    return surplus === undefined
      ? planned
      : {wish: 0, least: 0, giveBack: Math.max(surplus, planned.giveBack)};
  }

  /**
   * Asks for all that wait at once where the log has it. Load: all holders have as much
   * in hand as they may, and many requests come to one that has little. Harm of asking
   * for the first alone: each exchange with the store serves one request.
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

  /** Others are asked only where they seem to hold what the log can't give. */
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

import {
  lendersOf,
  UnansweredLoans,
  type RecordedLoan,
} from '@wisteriadeal/budgets';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {BudgetJournal} from './budget-journal.js';
import type {BudgetReplica} from './budget-replica.js';
import type {GrantAmount, LoanPeers} from './loan-peers.js';
import type {OrganisationBudget} from './organisation-budget.js';
import type {StoreHealth} from './store-health.js';
import {BudgetRefusal} from './token-waiters.js';

/**
 * Lenders that are asked for one loan. Load: many hosts hold a small budget in
 * pieces that are smaller than a request. Harm with few lenders: the pieces are not
 * gathered, and the request is refused.
 */
const MAXIMUM_LENDERS = 12;
/** Lenders asked at once; a silent one costs the request that waits 120 ms. */
const CONCURRENT_LENDERS = 3;
/** A loan is asked for so many times what waits, so that the next finds some. */
const LOAN_SIZE_FACTOR = 3;
/**
 * Calls to the store that fail for this host's own link alone fail no longer: the store
 * may be away as well, and requests would wait in vain.
 */
const LINK_FAILURE_MILLISECONDS = 2_000;
/** Why a lender is not asked until its late answer has come. */
const LATE_ANSWER_REASON = 'no answer in time, as this host’s link is late';
/** A lender that did not answer is not asked for this long, or until it answers. */
const LENDER_PAUSE_MILLISECONDS = 2_000;

/** Brings tokens from other holders where the store gives none in time. */
export class GrantBorrower {
  private readonly pausedLenders = new Map<string, number>();
  private readonly unansweredLoans = new UnansweredLoans();
  private nextLoanNumber = 0;

  constructor(
    private readonly journal: BudgetJournal,
    private readonly replica: BudgetReplica,
    private readonly peers: LoanPeers,
    private readonly health: StoreHealth,
    private readonly clock: Clock,
    private readonly events: EventLog,
  ) {}

  /**
   * Asks the holders that have most, a few at once. What still waits then is
   * refused: all while the store is away, else the first. Where the log has enough and
   * has not answered, its answer is waited for: a slow store takes 0.3 s and more. So
   * are loans that this host's own link holds up.
   */
  async borrow(budget: OrganisationBudget): Promise<void> {
    if (budget.isBorrowing) {
      return;
    }
    budget.isBorrowing = true;
    try {
      await this.borrowFromLenders(budget);
    } finally {
      budget.isBorrowing = false;
    }
    this.refuseUnservable(budget);
  }

  /** The log tells of a loan to this process. */
  loanRecorded(budget: OrganisationBudget, {loan, amount}: RecordedLoan): void {
    const found = this.unansweredLoans.recorded(loan, amount);
    if (found > 0) {
      this.creditRecoveredLoan(budget, loan, found);
    }
  }

  /**
   * Gives tokens to one of the holders, before this process ends. One that gives no
   * answer may have taken them, so that no other is asked then.
   */
  async handOver(given: readonly GrantAmount[]): Promise<void> {
    if (given.length === 0) {
      return;
    }
    const gift = {giver: this.journal.incarnation, given};
    for (const address of this.responsiveHolders()) {
      try {
        if (
          (await this.probe(address)) &&
          (await this.peers.handOver(address, gift))
        ) {
          this.events.info('grants handed over', {
            taker: address,
            organisations: given.length,
          });
          return;
        }
      } catch (error) {
        this.events.warn('grants lost at the end', {
          taker: address,
          organisations: given.length,
          reason: String(error),
        });
        return;
      }
    }
    this.events.warn('grants lost at the end', {
      organisations: given.length,
      reason: 'no holder takes them',
    });
  }

  /** Refuses what neither a loan nor the log is about to serve. */
  private refuseUnservable(budget: OrganisationBudget): void {
    if (budget.isBorrowing || budget.lateLoanCount > 0) {
      return;
    }
    if (this.expectsGrant(budget)) {
      return;
    }
    if (this.health.isAway) {
      budget.waiters.refuseUndispatched(BudgetRefusal.StoreUnavailable);
    } else {
      budget.waiters.refuseFirst(BudgetRefusal.HeldElsewhere);
    }
  }

  /** Whether the log has enough for the first that waits, and is to give it. */
  private expectsGrant(budget: OrganisationBudget): boolean {
    const view = this.replica.fold.view(budget.name);
    return this.isLogUsable() && budget.expectsGrant(view, budget.firstBound);
  }

  /** Whether the store answers, or has failed to for this host's own link alone. */
  private isLogUsable(): boolean {
    const failedFor = this.health.awayFor(this.clock.monotonicMilliseconds());
    return !this.health.isOutage && failedFor < LINK_FAILURE_MILLISECONDS;
  }

  /** Whether a holder speaks; a loan of nothing is asked for, and none is given. */
  private async probe(address: string): Promise<boolean> {
    try {
      await this.peers.borrow(address, {
        organisation: '',
        least: 0,
        wish: 0,
        borrower: this.journal.incarnation,
        loan: '',
        inHandOnly: true,
      });
      return true;
    } catch (error) {
      this.pauseLender(address, '', error);
      return false;
    }
  }

  /** Other holders, without those that were silent lately. */
  private responsiveHolders(): readonly string[] {
    return [...this.replica.fold.holders.values()]
      .filter(({incarnation}) => incarnation !== this.journal.incarnation)
      .map(({address}) => address)
      .filter(address => this.isResponsive(address));
  }

  private isResponsive(address: string): boolean {
    const now = this.clock.monotonicMilliseconds();
    return (this.pausedLenders.get(address) ?? 0) <= now;
  }

  private pauseLender(address: string, loan: string, error: unknown): void {
    const until =
      this.clock.monotonicMilliseconds() + LENDER_PAUSE_MILLISECONDS;
    this.pausedLenders.set(address, until);
    this.events.warn('lender silent', {
      lender: address,
      loan,
      reason: String(error),
    });
  }

  private async borrowFromLenders(budget: OrganisationBudget): Promise<void> {
    const lenders = lendersOf(
      this.replica.fold,
      budget.name,
      this.journal.incarnation,
    ).filter(({address}) => this.isResponsive(address));
    const most = Math.min(MAXIMUM_LENDERS, lenders.length);
    for (let asked = 0; asked < most; asked += CONCURRENT_LENDERS) {
      if (budget.waiters.count === 0) {
        return;
      }
      const next = lenders.slice(
        asked,
        Math.min(most, asked + CONCURRENT_LENDERS),
      );
      await Promise.all(
        next.map(({address}, index) =>
          this.borrowFrom(budget, address, index > 0),
        ),
      );
    }
  }

  /** @param inHandOnly Another lender may ask the store for the same tokens. */
  private async borrowFrom(
    budget: OrganisationBudget,
    address: string,
    inHandOnly: boolean,
  ): Promise<void> {
    const borrower = this.journal.incarnation;
    const loan = `${borrower}.${this.nextLoanNumber++}`;
    this.unansweredLoans.requested(loan);
    const request = {
      organisation: budget.name,
      least: budget.firstShortfall,
      wish: LOAN_SIZE_FACTOR * budget.waiters.tokens,
      borrower,
      loan,
      inHandOnly: inHandOnly || this.expectsGrant(budget),
    };
    const awaitLateAnswer = (answer: Promise<number>) => {
      void this.awaitLate(budget, address, loan, answer);
    };
    try {
      const lent = await this.peers.borrow(address, request, awaitLateAnswer);
      if (lent !== undefined) {
        this.unansweredLoans.answered(loan);
        this.creditLoan(budget, address, loan, lent);
      }
    } catch (error) {
      this.answerLost(budget, address, loan, error);
    }
  }

  private creditLoan(
    budget: OrganisationBudget,
    lender: string,
    loan: string,
    lent: number,
  ): void {
    const organisation = budget.name;
    this.events.info('grant borrowed', {organisation, lender, lent, loan});
    budget.credit(lent);
  }

  /** The loan is lost for now, so that its record brings it where that comes first. */
  private async awaitLate(
    budget: OrganisationBudget,
    address: string,
    loan: string,
    answer: Promise<number>,
  ): Promise<void> {
    budget.lateLoanCount++;
    this.answerLost(budget, address, loan, LATE_ANSWER_REASON);
    try {
      const tokens = this.unansweredLoans.answeredLate(loan, await answer);
      this.pausedLenders.delete(address);
      this.creditLoan(budget, address, loan, tokens);
    } catch (error) {
      this.pauseLender(address, loan, error);
    } finally {
      budget.lateLoanCount--;
      this.refuseUnservable(budget);
    }
  }

  private answerLost(
    budget: OrganisationBudget,
    address: string,
    loan: string,
    error: unknown,
  ): void {
    this.pauseLender(address, loan, error);
    const found = this.unansweredLoans.answerLost(loan);
    if (found > 0) {
      this.creditRecoveredLoan(budget, loan, found);
    }
  }

  private creditRecoveredLoan(
    budget: OrganisationBudget,
    loan: string,
    tokens: number,
  ): void {
    this.events.info('lost loan found on the log', {
      organisation: budget.name,
      loan,
      tokens,
    });
    budget.credit(tokens);
  }
}

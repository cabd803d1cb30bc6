import {
  lendersByHeldTokens,
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
 * Maximum number of lenders asked for one request. Many hosts may each hold fewer tokens
 * of a small budget than one request needs. With fewer lenders these tokens would not be
 * collected and the request would be refused.
 */
const MAXIMUM_LENDERS = 12;
/** Lenders asked concurrently. One that does not answer delays the request by 120 ms. */
const CONCURRENT_LENDERS = 3;
/** Multiple of the waiting requests' tokens that is borrowed, to serve the next ones. */
const LOAN_SIZE_FACTOR = 3;
/**
 * Maximum time for which failed calls to the store are attributed to this host's own
 * link. After that the store may be unavailable as well, and requests would wait for
 * grants that do not come.
 */
const LINK_FAILURE_MILLISECONDS = 2_000;
/** Reason for pausing a lender until its late answer has come. */
const LATE_ANSWER_REASON =
  'no answer in time because this host’s link is delayed';
/** A lender that did not answer is not asked again for this time, or until it answers. */
const LENDER_PAUSE_MILLISECONDS = 2_000;

/** Borrows tokens from other holders when the store grants none in time. */
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
   * Borrows from the holders with the most tokens, a few at a time. Requests that still
   * wait then are refused: all undispatched ones while the store is unavailable, else
   * the first. None is refused while the log has enough tokens and is expected to grant
   * them, since a slow store takes 0.3 s and more, or while a loan is delayed by this
   * host's own link.
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

  /** Handles the log's record of a loan to this process. */
  loanRecorded(budget: OrganisationBudget, {loan, amount}: RecordedLoan): void {
    const recovered = this.unansweredLoans.recordFolded(loan, amount);
    if (recovered > 0) {
      this.creditRecoveredLoan(budget, loan, recovered);
    }
  }

  /**
   * Hands tokens over to another holder before this process ends. If a holder does not
   * answer, it may have accepted them, so no other holder is tried.
   *
   * @returns False if no holder can have accepted them; this process still has them then.
   */
  async handOver(given: readonly GrantAmount[]): Promise<boolean> {
    if (given.length === 0) {
      return true;
    }
    const handover = {giver: this.journal.incarnation, given};
    for (const address of this.responsiveHolders()) {
      try {
        if (
          (await this.probe(address)) &&
          (await this.peers.handOver(address, handover))
        ) {
          this.events.info('grants handed over', {
            recipient: address,
            organisations: given.length,
          });
          return true;
        }
      } catch (error) {
        this.events.warn('grants lost at shutdown', {
          recipient: address,
          organisations: given.length,
          reason: String(error),
        });
        return true;
      }
    }
    return false;
  }

  /** Refuses waiting requests that neither a loan nor the log is expected to serve. */
  private refuseUnservable(budget: OrganisationBudget): void {
    if (budget.isBorrowing || budget.lateLoanCount > 0) {
      return;
    }
    if (this.expectsGrant(budget)) {
      return;
    }
    if (this.health.isUnavailable) {
      budget.waiters.refuseUndispatched(BudgetRefusal.StoreUnavailable);
    } else {
      budget.waiters.refuseFirst(BudgetRefusal.HeldElsewhere);
    }
  }

  /** Whether the log is expected to grant enough for the first waiting request. */
  private expectsGrant(budget: OrganisationBudget): boolean {
    const view = this.replica.fold.view(budget.name);
    return this.isLogUsable() && budget.expectsGrant(view, budget.firstBound);
  }

  /** Whether the store answers, or its calls failed only for this host's own link. */
  private isLogUsable(): boolean {
    const failedFor = this.health.unavailableMilliseconds(
      this.clock.monotonicMilliseconds(),
    );
    return !this.health.isOutage && failedFor < LINK_FAILURE_MILLISECONDS;
  }

  /** Checks that a holder answers, by a loan request for no tokens. */
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

  /** Addresses of other holders, without those that recently failed to answer. */
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
    const pausedUntil =
      this.clock.monotonicMilliseconds() + LENDER_PAUSE_MILLISECONDS;
    this.pausedLenders.set(address, pausedUntil);
    this.events.warn('lender unresponsive', {
      lender: address,
      loan,
      reason: String(error),
    });
  }

  private async borrowFromLenders(budget: OrganisationBudget): Promise<void> {
    const lenders = lendersByHeldTokens(
      this.replica.fold,
      budget.name,
      this.journal.incarnation,
    ).filter(({address}) => this.isResponsive(address));
    const count = Math.min(MAXIMUM_LENDERS, lenders.length);
    for (let first = 0; first < count; first += CONCURRENT_LENDERS) {
      if (budget.waiters.count === 0) {
        return;
      }
      const next = lenders.slice(
        first,
        Math.min(count, first + CONCURRENT_LENDERS),
      );
      await Promise.all(
        next.map(({address}, index) =>
          this.borrowFrom(budget, address, index > 0),
        ),
      );
    }
  }

  /**
   * @param inHandOnly Whether the lender must not request tokens from the store, because
   *     another lender may request them for the same loan.
   */
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
    const onLateAnswer = (answer: Promise<number>) => {
      void this.awaitLateAnswer(budget, address, loan, answer);
    };
    try {
      const lent = await this.peers.borrow(address, request, onLateAnswer);
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

  /**
   * Credits a loan when its delayed answer arrives. Until then the answer counts as lost,
   * so that the loan's record on the log credits it if it is folded first.
   */
  private async awaitLateAnswer(
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
    const recovered = this.unansweredLoans.answerLost(loan);
    if (recovered > 0) {
      this.creditRecoveredLoan(budget, loan, recovered);
    }
  }

  private creditRecoveredLoan(
    budget: OrganisationBudget,
    loan: string,
    tokens: number,
  ): void {
    this.events.info('lost loan recovered from the log', {
      organisation: budget.name,
      loan,
      tokens,
    });
    budget.credit(tokens);
  }
}

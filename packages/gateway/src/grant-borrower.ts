import {
  lendersByHeldTokens,
  UnansweredLoans,
  type Lender,
  type RankedLender,
  type RecordedLoan,
} from '@wisteriadeal/budgets';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {BudgetJournal} from './budget-journal.js';
import type {BudgetReplica} from './budget-replica.js';
import type {GrantAmount, LoanAnswer, LoanPeers} from './loan-peers.js';
import {LoanResult, type LoanObserver} from './loan-observer.js';
import {LoanRound} from './loan-round.js';
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
/**
 * A lender lends half of its tokens at most, so that those asked together are expected to
 * have this multiple of the tokens needed.
 */
const EXPECTED_TOKENS_FACTOR = 2;
/** Multiple of the waiting requests' tokens that is borrowed, to serve the next ones. */
const LOAN_SIZE_FACTOR = 3;
/** Seconds of this host's recent usage that is borrowed, to serve the next requests. */
const LOAN_USAGE_SECONDS = 3;
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
  private nextRoundNumber = 0;

  constructor(
    private readonly journal: BudgetJournal,
    private readonly replica: BudgetReplica,
    private readonly peers: LoanPeers,
    private readonly health: StoreHealth,
    private readonly clock: Clock,
    private readonly events: EventLog,
    private readonly observer: LoanObserver,
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
    if (!this.isFruitless(budget, budget.firstBound)) {
      budget.isBorrowing = true;
      try {
        await this.borrowFromLenders(budget);
      } finally {
        budget.isBorrowing = false;
      }
    }
    this.refuseUnservable(budget);
  }

  /**
   * Whether a new request is to be refused at once: the store is unavailable, and a recent
   * round of loans did not serve a request that lacked as many tokens or fewer.
   */
  isFruitless(budget: OrganisationBudget, bound: number): boolean {
    return (
      this.health.isUnavailable &&
      budget.lateLoanCount === 0 &&
      !this.expectsGrant(budget) &&
      budget.loanBackoff.isFruitless(
        budget.shortfallFor(bound),
        this.clock.monotonicMilliseconds(),
      )
    );
  }

  /** Forgets what lenders had left, because the store grants tokens again. */
  storeAnswered(budget: OrganisationBudget): void {
    budget.lenderKnowledge.forget();
    budget.loanBackoff.reset();
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
      budget.refuseUnservable(BudgetRefusal.StoreUnavailable);
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
    if (!this.health.isUnavailable) {
      this.storeAnswered(budget);
    }
    const round = new LoanRound(
      `${this.journal.incarnation} ${this.nextRoundNumber++}`,
      budget.name,
      budget.firstShortfall,
    );
    const lenders = [
      ...budget.lenderKnowledge.rank(
        this.responsiveLenders(budget),
        round.name,
        this.clock.monotonicMilliseconds(),
      ),
    ];
    while (
      round.asked < MAXIMUM_LENDERS &&
      lenders.length + round.storeLenders.length > 0 &&
      budget.waiters.count > 0
    ) {
      const storeLender = round.storeLenders.shift();
      const next =
        storeLender === undefined
          ? takeLenders(lenders, budget.firstShortfall)
          : [storeLender];
      round.asked += next.length;
      await Promise.all(
        next.map((lender, index) =>
          this.borrowFrom(budget, round, lender, index > 0),
        ),
      );
    }
    const now = this.clock.monotonicMilliseconds();
    const lacking = budget.waiters.count === 0 ? 0 : budget.firstShortfall;
    if (budget.lateLoanCount === 0) {
      budget.loanBackoff.recordRound(lacking, now);
    }
    this.events.info('loan round ended', round.describe(lacking));
  }

  private responsiveLenders({name}: OrganisationBudget): readonly Lender[] {
    const {fold} = this.replica;
    return lendersByHeldTokens(fold, name, this.journal.incarnation).filter(
      ({address}) => this.isResponsive(address),
    );
  }

  /**
   * @param inHandOnly Whether the lender must not request tokens from the store, because
   *     another lender may request them for the same loan.
   */
  private async borrowFrom(
    budget: OrganisationBudget,
    round: LoanRound,
    lender: RankedLender,
    inHandOnly: boolean,
  ): Promise<void> {
    const {address} = lender;
    const borrower = this.journal.incarnation;
    const loan = `${borrower}.${this.nextLoanNumber++}`;
    const now = this.clock.monotonicMilliseconds();
    this.unansweredLoans.requested(loan);
    const request = {
      organisation: budget.name,
      least: budget.firstShortfall,
      wish: Math.max(
        LOAN_SIZE_FACTOR * budget.waiters.tokens,
        Math.ceil(budget.account.usagePerSecond(now) * LOAN_USAGE_SECONDS),
      ),
      borrower,
      loan,
      inHandOnly: inHandOnly || this.expectsGrant(budget),
    };
    const onLateAnswer = (answer: Promise<LoanAnswer>) => {
      void this.awaitLateAnswer(budget, address, loan, answer);
    };
    try {
      const answer = await this.peers.borrow(address, request, onLateAnswer);
      if (answer !== undefined) {
        const {lent, left} = answer;
        this.unansweredLoans.answered(loan);
        budget.lenderKnowledge.recordAnswer(
          lender,
          left,
          this.clock.monotonicMilliseconds(),
        );
        const mayFetch = inHandOnly && !this.expectsGrant(budget);
        round.recordAnswer(lender, request, answer, mayFetch);
        this.observer.loanEnded(
          lent > 0 ? LoanResult.Lent : LoanResult.Nothing,
        );
        budget.credit(lent);
      }
    } catch (error) {
      this.answerLost(budget, address, loan, error);
    }
  }

  /**
   * Credits a loan when its delayed answer arrives. Until then the answer counts as lost,
   * so that the loan's record on the log credits it if it is folded first.
   */
  private async awaitLateAnswer(
    budget: OrganisationBudget,
    address: string,
    loan: string,
    answer: Promise<LoanAnswer>,
  ): Promise<void> {
    budget.lateLoanCount++;
    this.answerLost(budget, address, loan, LATE_ANSWER_REASON);
    try {
      const {lent} = await answer;
      const tokens = this.unansweredLoans.answeredLate(loan, lent);
      this.pausedLenders.delete(address);
      budget.loanBackoff.reset();
      this.events.info('grant borrowed', {
        organisation: budget.name,
        lender: address,
        lent: tokens,
        loan,
      });
      budget.credit(tokens);
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
    this.observer.loanEnded(LoanResult.Unanswered);
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

/** Takes the lenders to ask together: as many as are expected to cover a shortfall. */
function takeLenders(
  lenders: RankedLender[],
  shortfall: number,
): readonly RankedLender[] {
  const wanted = EXPECTED_TOKENS_FACTOR * shortfall;
  let count = 0;
  let expected = 0;
  for (const lender of lenders.slice(0, CONCURRENT_LENDERS)) {
    if (count > 0 && expected >= wanted) {
      break;
    }
    expected += lender.expected;
    count++;
  }
  return lenders.splice(0, count);
}

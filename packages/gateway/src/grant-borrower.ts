import {
  lendersOf,
  UnansweredLoans,
  type RecordedLoan,
} from '@wisteriadeal/budgets';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {BudgetJournal} from './budget-journal.js';
import type {BudgetReplica} from './budget-replica.js';
import type {GivenAmount, LoanPeers} from './loan-peers.js';
import type {OrganisationBudget} from './organisation-budget.js';
import type {StoreHealth} from './store-health.js';
import {BudgetRefusal} from './token-waiters.js';

/**
 * Lenders that are asked for one loan. Load: many hosts hold a small budget in
 * pieces that are smaller than a request. Harm with few lenders: the pieces are not
 * gathered, and the request is refused.
 */
const MOST_LENDERS = 12;
/** Lenders asked at once; a silent one costs the request that waits 120 ms. */
const LENDERS_AT_ONCE = 3;
/** A loan is asked for so many times what waits, so that the next finds some. */
const LOAN_FACTOR = 3;
/**
 * Calls to the store that fail for this host's own link alone fail no longer: the store
 * may be away as well, and requests would wait in vain.
 */
const LINK_FAILURE_MILLISECONDS = 2_000;
/** Why a lender is not asked until its late answer has come. */
const LATE = 'no answer in time, as this host’s link is late';
/** A lender that did not answer is not asked for this long, or until it answers. */
const LENDER_PAUSE_MILLISECONDS = 2_000;

/** Brings tokens from other holders where the store gives none in time. */
export class GrantBorrower {
  private readonly silentLenders = new Map<string, number>();
  private readonly unanswered = new UnansweredLoans();
  private asked = 0;

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
      await this.borrowFromSome(budget);
    } finally {
      budget.isBorrowing = false;
    }
    this.refuseUnserved(budget);
  }

  /** The log tells of a loan to this process. */
  recorded(budget: OrganisationBudget, {loan, amount}: RecordedLoan): void {
    const found = this.unanswered.recorded(loan, amount);
    if (found > 0) {
      this.credit(budget, loan, found);
    }
  }

  /**
   * Gives tokens to one of the holders, before this process ends. One that gives no
   * answer may have taken them, so that no other is asked then.
   */
  async handOver(given: readonly GivenAmount[]): Promise<void> {
    if (given.length === 0) {
      return;
    }
    const gift = {giver: this.journal.incarnation, given};
    for (const address of this.otherHolders()) {
      try {
        if (
          (await this.answers(address)) &&
          (await this.peers.give(address, gift))
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
  private refuseUnserved(budget: OrganisationBudget): void {
    if (budget.isBorrowing || budget.lateLoans > 0) {
      return;
    }
    if (this.awaitsLog(budget)) {
      return;
    }
    if (this.health.isAway) {
      budget.waiters.refuseUndispatched(BudgetRefusal.StoreAway);
    } else {
      budget.waiters.refuseFirst(BudgetRefusal.HeldElsewhere);
    }
  }

  /** Whether the log has enough for the first that waits, and is to give it. */
  private awaitsLog(budget: OrganisationBudget): boolean {
    const view = this.replica.fold.view(budget.name);
    return this.answersCome() && budget.awaitsLog(view, budget.firstBound);
  }

  /** Whether the store answers, or has failed to for this host's own link alone. */
  private answersCome(): boolean {
    const awayFor = this.health.awayFor(this.clock.monotonicMilliseconds());
    return !this.health.isOutage && awayFor < LINK_FAILURE_MILLISECONDS;
  }

  /** Whether a holder speaks; a loan of nothing is asked for, and none is given. */
  private async answers(address: string): Promise<boolean> {
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
      this.noteSilent(address, '', error);
      return false;
    }
  }

  /** Other holders, without those that were silent lately. */
  private otherHolders(): readonly string[] {
    return [...this.replica.fold.holders.values()]
      .filter(({incarnation}) => incarnation !== this.journal.incarnation)
      .map(({address}) => address)
      .filter(address => this.isSpeaking(address));
  }

  private isSpeaking(address: string): boolean {
    const now = this.clock.monotonicMilliseconds();
    return (this.silentLenders.get(address) ?? 0) <= now;
  }

  private noteSilent(address: string, loan: string, error: unknown): void {
    const until =
      this.clock.monotonicMilliseconds() + LENDER_PAUSE_MILLISECONDS;
    this.silentLenders.set(address, until);
    this.events.warn('lender silent', {
      lender: address,
      loan,
      reason: String(error),
    });
  }

  private async borrowFromSome(budget: OrganisationBudget): Promise<void> {
    const lenders = lendersOf(
      this.replica.fold,
      budget.name,
      this.journal.incarnation,
    ).filter(({address}) => this.isSpeaking(address));
    const most = Math.min(MOST_LENDERS, lenders.length);
    for (let asked = 0; asked < most; asked += LENDERS_AT_ONCE) {
      if (budget.waiters.count === 0) {
        return;
      }
      const next = lenders.slice(
        asked,
        Math.min(most, asked + LENDERS_AT_ONCE),
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
    const loan = `${borrower}.${this.asked++}`;
    this.unanswered.asked(loan);
    const request = {
      organisation: budget.name,
      least: budget.firstShortfall,
      wish: LOAN_FACTOR * budget.waiters.tokens,
      borrower,
      loan,
      inHandOnly: inHandOnly || this.awaitsLog(budget),
    };
    const awaitLate = (answer: Promise<number>) => {
      void this.awaitLate(budget, address, loan, answer);
    };
    try {
      const lent = await this.peers.borrow(address, request, awaitLate);
      if (lent !== undefined) {
        this.unanswered.answered(loan);
        this.noteBorrowed(budget, address, loan, lent);
      }
    } catch (error) {
      this.lost(budget, address, loan, error);
    }
  }

  private noteBorrowed(
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
    budget.lateLoans++;
    this.lost(budget, address, loan, LATE);
    try {
      const tokens = this.unanswered.answeredLate(loan, await answer);
      this.silentLenders.delete(address);
      this.noteBorrowed(budget, address, loan, tokens);
    } catch (error) {
      this.noteSilent(address, loan, error);
    } finally {
      budget.lateLoans--;
      this.refuseUnserved(budget);
    }
  }

  private lost(
    budget: OrganisationBudget,
    address: string,
    loan: string,
    error: unknown,
  ): void {
    this.noteSilent(address, loan, error);
    const found = this.unanswered.lost(loan);
    if (found > 0) {
      this.credit(budget, loan, found);
    }
  }

  private credit(
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

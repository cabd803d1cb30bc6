import {
  ChargePoint,
  chargePoint,
  loanFor,
  type ClosedGrant,
  type FoldOutcome,
  type GrantSizing,
  type Reservation,
} from '@wisteriadeal/budgets';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {BudgetJournal} from './budget-journal.js';
import type {BudgetReplica} from './budget-replica.js';
import type {FleetConfiguration} from './configuration.js';
import {GrantBorrower} from './grant-borrower.js';
import {GrantPlanner} from './grant-planner.js';
import type {
  Gift,
  GivenAmount,
  LoanHolder,
  LoanPeers,
  LoanRequest,
} from './loan-peers.js';
import {OrganisationBudget, type ReserveResult} from './organisation-budget.js';
import type {StoreHealth} from './store-health.js';
import {BudgetRefusal} from './token-waiters.js';

/** The log is read at least this often: others' grants decide what is left. */
const POLL_MILLISECONDS = 700;
/** Between turns while records are to be written. */
const TURN_MILLISECONDS = 5;
/** Between turns while requests wait for tokens that others may give back. */
const WAITING_MILLISECONDS = 25;
/** Between turns while the store fails. */
const RETRY_MILLISECONDS = 200;
/**
 * A request waits so long for a grant. An append and a read take about 10 ms; the
 * shortest goal among the users' requests is some 150 ms.
 */
const WAIT_MILLISECONDS = 400;
/** Without the store's verdict by then, other holders are asked. */
const BORROW_AFTER_MILLISECONDS = 60;
/** A lender waits so long for the store; its borrower waits 120 ms for it. */
const FETCH_MILLISECONDS = 70;

/** How long an answer that is ready waits for its tokens. */
export interface DeliveryLimit {
  readonly milliseconds: number;
  readonly signal: AbortSignal;
}

/** What became of a promise when its answer was ready. */
export interface TakenReservation {
  readonly reservation: Reservation;
  /** Undefined where the answer may be passed on. */
  readonly refusal: BudgetRefusal | undefined;
}

/**
 * Holds this process's grants: reservations are taken from them without a message.
 * One task keeps them filled through the log; while the store is away, holders that
 * see each other lend.
 */
export class BudgetHolder implements LoanHolder {
  private readonly budgets = new Map<string, OrganisationBudget>();
  private readonly borrower: GrantBorrower;
  private readonly planner: GrantPlanner;
  private readonly stop = new AbortController();
  private wake = new AbortController();
  private running: Promise<void> = Promise.resolve();
  private isClosing = false;
  private hasOpened = false;

  constructor(
    private readonly journal: BudgetJournal,
    private readonly replica: BudgetReplica,
    private readonly peers: LoanPeers,
    private readonly health: StoreHealth,
    private readonly clock: Clock,
    private readonly events: EventLog,
    sizing: GrantSizing,
    pooledPart: number,
  ) {
    this.borrower = new GrantBorrower(
      journal,
      replica,
      peers,
      health,
      clock,
      events,
    );
    this.planner = new GrantPlanner(
      journal,
      replica,
      this.borrower,
      clock,
      events,
      sizing,
      pooledPart,
    );
  }

  /** True once this process may hold grants. */
  get isReady(): boolean {
    return this.hasOpened;
  }

  /** Processes that share the budgets, this one included. */
  get holders(): number {
    return Math.max(1, this.replica.fold.holders.size);
  }

  /** What is known of an organisation's budget here, for dumps. */
  describe(organisation: string): Readonly<Record<string, number>> | undefined {
    const budget = this.budgets.get(organisation);
    if (budget === undefined) {
      return undefined;
    }
    const {account, prepaid, configurationVersion} = budget;
    const view = this.replica.fold.view(organisation);
    return {
      prepaid,
      configurationVersion,
      available: account.available,
      promised: account.promised,
      reserved: account.reserved,
      spentHere: account.spent,
      unallocated: view?.unallocated ?? prepaid,
      spentKnown: view?.spent ?? 0,
      waiting: budget.waiters.count,
    };
  }

  /** Takes the budgets of a configuration that has come into force. */
  configure(configuration: FleetConfiguration): void {
    for (const {name, prepaid} of configuration.organisations) {
      if (prepaid !== undefined) {
        this.setPrepaid(name, prepaid, configuration.version);
      }
    }
    this.wake.abort();
  }

  /**
   * Lets a request begin: puts the most that it can use aside, or promises it.
   *
   * @param mayPromise Whether a request of which nothing is delivered costs nothing.
   * @returns At once where the grants or the log cover it; else after the store's
   *     verdict or a loan.
   */
  async reserve(
    organisation: string,
    bound: number,
    mayPromise: boolean,
  ): Promise<ReserveResult> {
    const budget = this.budgets.get(organisation);
    if (budget === undefined || bound === 0) {
      return {reservation: unlimited(organisation)};
    }
    const view = this.replica.fold.view(organisation);
    const isLogAtHand = this.health.isAtHand(
      this.clock.monotonicMilliseconds(),
    );
    const {account} = budget;
    if (
      mayPromise &&
      chargePoint(account, view, bound, isLogAtHand) === ChargePoint.Delivery
    ) {
      return {reservation: budget.promise(bound)};
    }
    const reservation = budget.reserveNow(bound, !isLogAtHand);
    if (reservation !== undefined) {
      return {reservation};
    }
    if (budget.isExhausted(view, bound)) {
      return {refusal: BudgetRefusal.Exhausted};
    }
    const result = budget.reserveLater(bound, {
      milliseconds: WAIT_MILLISECONDS,
      refusal: () => this.refusalOfLate(budget, bound),
    });
    return this.bring(budget, result);
  }

  /**
   * Takes what was promised, before the first part of an answer is passed on: all
   * that was delivered stands on the log as granted to this process.
   *
   * @returns The reservation that is left, and why its tokens are not taken.
   */
  async take(
    reservation: Reservation,
    limit: DeliveryLimit,
  ): Promise<TakenReservation> {
    const {organisation, bound} = reservation;
    const budget = this.budgets.get(organisation);
    if (
      budget === undefined ||
      reservation.chargePoint === ChargePoint.Dispatch
    ) {
      return {reservation, refusal: undefined};
    }
    const taken = {...reservation, chargePoint: ChargePoint.Dispatch};
    if (budget.keepPromiseNow(bound)) {
      return {reservation: taken, refusal: undefined};
    }
    const result = budget.keepPromiseLater(bound, {
      ...limit,
      refusal: () => this.refusalOfLate(budget, bound),
    });
    const refusal = await this.bring(budget, result);
    return {reservation: refusal === undefined ? taken : reservation, refusal};
  }

  /** Ends a reservation with what the request used. */
  settle(reservation: Reservation, used: number): void {
    const budget = this.budgets.get(reservation.organisation);
    if (budget !== undefined && reservation.bound > 0) {
      budget.settle(reservation, used);
    }
  }

  /**
   * Lends to another holder; what is lent is off this account for good. A lender
   * that sees the store gets what it lacks from there: only some hosts are cut off.
   */
  async lend(request: LoanRequest): Promise<number> {
    const {organisation, least, wish, borrower, loan} = request;
    const budget = this.budgets.get(organisation);
    if (budget === undefined || this.isClosing) {
      return 0;
    }
    const view = this.replica.fold.view(organisation);
    if (
      budget.account.available < least &&
      (view?.unallocated ?? 0) >= least &&
      !this.health.isAway
    ) {
      await this.fetch(budget, least);
    }
    const lent = budget.account.debit(loanFor(budget.account, least, wish));
    if (lent > 0) {
      this.journal.add({
        case: 'lent',
        value: {
          $typeName: 'wisteriadeal.v1.GrantLent',
          organisation,
          borrower,
          amount: lent,
          held: Math.max(0, budget.account.held),
          loan,
        },
      });
    }
    this.events.info('grant lent', {organisation, borrower, lent, wish, loan});
    return lent;
  }

  /** Keeps the grants filled until it is closed. */
  run(): Promise<void> {
    this.running = this.takeTurns();
    return this.running;
  }

  /** Takes what a process has left that stops while the store is away. */
  takeOver({giver, given}: Gift): boolean {
    if (this.isClosing || !this.hasOpened) {
      return false;
    }
    for (const {organisation, amount} of given) {
      this.budgets.get(organisation)?.credit(Math.max(0, amount));
      this.events.info('grant taken over', {organisation, amount, giver});
    }
    return true;
  }

  /**
   * Returns what nobody has reserved; ends when the store has it, or fails. While the
   * store is away another holder gets it: the whole would be lost, and hosts are
   * stopped in turn also during an outage.
   */
  async close(): Promise<void> {
    this.isClosing = true;
    this.stop.abort();
    this.wake.abort();
    await this.running;
    if (this.health.isAway) {
      await this.borrower.handOver(this.takeRest());
    } else {
      for (const budget of this.budgets.values()) {
        this.planner.giveBack(budget, budget.account.available);
      }
    }
    await this.turn();
    this.peers.close();
  }

  /** Ends at once; what is held stays charged. */
  abort(): void {
    this.isClosing = true;
    this.stop.abort();
    this.wake.abort();
    this.peers.close();
  }

  private async takeTurns(): Promise<void> {
    while (!this.stop.signal.aborted) {
      this.rearm();
      const pause = await this.turn();
      await this.clock.sleep(pause, this.wake.signal);
    }
  }

  private setPrepaid(name: string, prepaid: number, version: number): void {
    const budget = this.budgets.get(name);
    if (budget === undefined) {
      this.budgets.set(
        name,
        new OrganisationBudget(name, prepaid, version, this.clock),
      );
      return;
    }
    if (prepaid < budget.prepaid) {
      // Grants given under the larger budget could be spent beyond the new one.
      this.planner.giveBack(budget, budget.account.available);
    }
    if (prepaid !== budget.prepaid) {
      budget.isUntold = true;
      this.events.info('budget changed', {
        organisation: name,
        prepaid,
        before: budget.prepaid,
        version,
      });
    }
    budget.prepaid = prepaid;
    budget.configurationVersion = version;
  }

  /** Takes all that no request has reserved off the accounts. */
  private takeRest(): readonly GivenAmount[] {
    return [...this.budgets.values()]
      .map(({name, account}) => ({
        organisation: name,
        amount: account.debit(account.available),
      }))
      .filter(({amount}) => amount > 0);
  }

  /** One exchange with the store; returns the pause before the next. */
  private async turn(): Promise<number> {
    try {
      this.plan();
      this.health.called(this.clock.monotonicMilliseconds());
      const outcomes = await this.journal.exchange();
      this.health.answered(this.clock.monotonicMilliseconds());
      outcomes.forEach(outcome => {
        this.takeOutcome(outcome);
      });
      this.noteOpening();
      await this.replica.checkpointIfDue(this.journal.incarnation);
    } catch (error) {
      this.health.failed(this.clock.monotonicMilliseconds(), error);
      return RETRY_MILLISECONDS;
    }
    if (this.journal.hasPending) {
      return TURN_MILLISECONDS;
    }
    return this.hasWaiting() ? WAITING_MILLISECONDS : POLL_MILLISECONDS;
  }

  /** Brings tokens from the store for a loan, without asking for one in turn. */
  private async fetch(
    budget: OrganisationBudget,
    least: number,
  ): Promise<void> {
    const fetched = budget.reserveLater(least, {
      milliseconds: FETCH_MILLISECONDS,
      refusal: () => this.refusalOfLate(budget, least),
    });
    this.wake.abort();
    const result = await fetched;
    if ('reservation' in result) {
      budget.account.settle(least, 0);
    }
  }

  /** Wakes the exchange with the store, and asks other holders where it is late. */
  private async bring<Result>(
    budget: OrganisationBudget,
    result: Promise<Result>,
  ): Promise<Result> {
    this.wake.abort();
    const patience = this.health.isAway ? 0 : BORROW_AFTER_MILLISECONDS;
    const timer = setTimeout(() => void this.borrower.borrow(budget), patience);
    try {
      return await result;
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Why a request got no tokens in time. Load: a data centre is cut off, and calls to
   * the store have not given up yet. Harm of naming others' hands while the log is
   * known to have enough: callers come back after 0.6 s, into the same outage.
   */
  private refusalOfLate(
    budget: OrganisationBudget,
    bound: number,
  ): BudgetRefusal {
    const view = this.replica.fold.view(budget.name);
    return this.health.isAway || budget.awaitsLog(view, bound)
      ? BudgetRefusal.StoreAway
      : BudgetRefusal.HeldElsewhere;
  }

  private noteOpening(): void {
    if (this.hasOpened || !this.journal.isOpen) {
      return;
    }
    this.hasOpened = true;
    this.events.info('budget holder opened', {
      incarnation: this.journal.incarnation,
      offset: this.replica.fold.nextOffset,
      holders: this.holders,
    });
  }

  private plan(): void {
    if (this.isClosing || !this.hasOpened) {
      return;
    }
    if (!this.journal.isOpen && !this.journal.hasPending) {
      this.journal.reopen();
      for (const budget of this.budgets.values()) {
        budget.isAsking = false;
        budget.isUntold = true;
      }
    }
    for (const budget of this.budgets.values()) {
      this.planner.plan(budget);
    }
  }

  private takeOutcome(outcome: FoldOutcome): void {
    if (outcome.kind === 'opening') {
      this.logClosed(outcome.closed);
      return;
    }
    const budget = this.budgets.get(outcome.organisation);
    if (budget === undefined) {
      return;
    }
    if (outcome.kind === 'loan') {
      this.borrower.recorded(budget, outcome);
    } else {
      this.planner.take(budget, outcome);
    }
  }

  /** What the process before this one on the host had, and took with it. */
  private logClosed(closed: readonly ClosedGrant[]): void {
    for (const {organisation, charged, lastHeld} of closed) {
      this.events.info('grant of an ended process closed', {
        organisation,
        charged,
        lastHeld,
        ...this.describe(organisation),
      });
    }
  }

  private hasWaiting(): boolean {
    return [...this.budgets.values()].some(({waiters}) => waiters.count > 0);
  }

  private rearm(): void {
    if (this.wake.signal.aborted) {
      this.wake = new AbortController();
    }
  }
}

/** Of an organisation without a budget, or a request without tokens. */
function unlimited(organisation: string): Reservation {
  return {organisation, bound: 0, chargePoint: ChargePoint.Dispatch};
}

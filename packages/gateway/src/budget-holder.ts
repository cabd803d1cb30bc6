import type {
  ClosedGrant,
  FoldedHolder,
  FoldOutcome,
  GrantSizing,
} from '@wisteriadeal/budgets';
import {budgetReadInterval} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {BudgetJournal} from './budget-journal.js';
import {BudgetRegistry} from './budget-registry.js';
import type {BudgetReplica} from './budget-replica.js';
import type {FleetConfiguration} from './configuration.js';
import {GrantBorrower} from './grant-borrower.js';
import {GrantLender} from './grant-lender.js';
import {GrantPlanner} from './grant-planner.js';
import {NO_LOAN_OBSERVER, type LoanObserver} from './loan-observer.js';
import type {GrantAmount, LoanHolder, LoanPeers} from './loan-peers.js';
import {OrganisationBudget} from './organisation-budget.js';
import type {StoreHealth} from './store-health.js';
import {TokenReservations} from './token-reservations.js';

/** Interval between exchanges while records are waiting to be written. */
const PENDING_RECORDS_INTERVAL_MILLISECONDS = 5;
/** Time for which a process that has opened waits for the first ceilings. */
const MAXIMUM_CEILING_WAIT_MILLISECONDS = 1_000;
/** Interval between exchanges while requests wait for tokens of other holders. */
const WAITING_REQUESTS_INTERVAL_MILLISECONDS = 25;
/** Interval between exchanges while the store fails. */
const RETRY_INTERVAL_MILLISECONDS = 200;
/**
 * Time after which no further exchange is started at a stop. A call that the store does
 * not answer takes longer, so that it is not repeated; connections must still be closed.
 */
const RETURN_RETRY_MILLISECONDS = 1_000;

/**
 * Manages this process's grants, from which requests reserve tokens without a message.
 * One task refills the grants through the log. While the store is unavailable, holders
 * that can reach each other lend tokens.
 */
export class BudgetHolder {
  /** Reservations of tokens for requests. */
  readonly reservations: TokenReservations;
  private readonly registry: BudgetRegistry;
  private readonly grantLender: GrantLender;
  private readonly borrower: GrantBorrower;
  private readonly planner: GrantPlanner;
  private readonly stop = new AbortController();
  private wake = new AbortController();
  private running: Promise<void> = Promise.resolve();
  private isClosing = false;
  private hasOpened = false;
  private openedAt: number | undefined;
  private hasCeilings = false;

  constructor(
    private readonly journal: BudgetJournal,
    private readonly replica: BudgetReplica,
    private readonly peers: LoanPeers,
    private readonly health: StoreHealth,
    private readonly clock: Clock,
    private readonly events: EventLog,
    sizing: GrantSizing,
    pooledPart: number,
    observer: LoanObserver = NO_LOAN_OBSERVER,
  ) {
    this.borrower = new GrantBorrower(
      journal,
      replica,
      peers,
      health,
      clock,
      events,
      observer,
    );
    this.registry = new BudgetRegistry(replica, health, clock);
    this.reservations = new TokenReservations(
      this.registry,
      this.borrower,
      () => {
        this.wake.abort();
      },
      observer,
    );
    this.grantLender = new GrantLender(
      this.registry,
      journal,
      this.reservations,
      events,
    );
    this.planner = new GrantPlanner(
      journal,
      replica,
      this.borrower,
      health,
      clock,
      events,
      sizing,
      pooledPart,
    );
  }

  /** True once the fold has opened this process, so that it may hold grants. */
  get isReady(): boolean {
    return this.hasOpened;
  }

  /**
   * Whether the first ceilings are in the store, so that grants may be used. True as well
   * if a process that has opened has waited long enough for them.
   */
  get mayUseGrants(): boolean {
    if (this.hasOpened && !this.hasCeilings) {
      const now = this.clock.monotonicMilliseconds();
      this.openedAt ??= now;
      this.hasCeilings =
        this.replica.hasCeilings ||
        now >= this.openedAt + MAXIMUM_CEILING_WAIT_MILLISECONDS;
    }
    return this.hasCeilings;
  }

  /** Number of processes that share the budgets, including this one. */
  get holderCount(): number {
    return Math.max(1, this.replica.fold.holders.size);
  }

  /** The same, for limits that all hosts share; undefined until this one is listed. */
  get listedHolderCount(): number | undefined {
    return this.hasOpened ? this.holderCount : undefined;
  }

  /** The other processes that share the budgets, as of the last read. */
  get otherHolders(): readonly FoldedHolder[] {
    const {incarnation} = this.journal;
    return [...this.replica.fold.holders.values()].filter(
      holder => holder.incarnation !== incarnation,
    );
  }

  /** Names of all hosts, including this one, as of the last read. */
  get hosts(): readonly string[] {
    return [...this.replica.fold.holders.values()].map(({host}) => host);
  }

  /** Names of the hosts of a data centre, including this one, as of the last read. */
  hostsIn(dataCenter: string): readonly string[] {
    return [...this.replica.fold.holders.values()]
      .filter(holder => holder.dataCenter === dataCenter)
      .map(({host}) => host);
  }

  /** The service that other holders call. */
  get lender(): LoanHolder {
    return this.grantLender;
  }

  /** This process's state of an organisation's budget, for state dumps. */
  describe(organisation: string): Readonly<Record<string, number>> | undefined {
    return this.registry.describe(organisation);
  }

  /** Applies the budgets of a configuration that has come into force. */
  configure(configuration: FleetConfiguration): void {
    for (const {name, prepaid} of configuration.organisations) {
      if (prepaid !== undefined) {
        this.setPrepaid(name, prepaid, configuration.version);
      }
    }
    this.wake.abort();
  }

  /**
   * Sets whether this host's callers are redirected to other hosts. Those hosts then need
   * the tokens available here if the log has few.
   */
  setLeaving(isLeaving: boolean): void {
    if (isLeaving !== this.planner.isLeaving) {
      this.planner.isLeaving = isLeaving;
      this.wake.abort();
    }
  }

  /** Refills the grants until the holder is closed. */
  run(): Promise<void> {
    this.running = this.runExchanges();
    return this.running;
  }

  /**
   * Returns all unreserved tokens to the store and resolves when it has accepted them or
   * failed. While the store is unavailable, the tokens go to another holder. They would
   * be lost otherwise, because hosts are also stopped one by one during an outage. If no
   * holder accepts them, the store may be available again.
   */
  async close(): Promise<void> {
    this.beginClosing();
    await this.running;
    const isHandedOver = this.health.isUnavailable && (await this.handOver());
    await this.returnAvailable();
    if (this.health.isUnavailable && !isHandedOver) {
      this.events.warn('grants lost at shutdown', {
        reason: 'neither another holder nor the store accepted the tokens',
      });
    }
    this.peers.close();
  }

  /**
   * Writes a last checkpoint after `close`, because no other process may run. Without it
   * the records since the newest one would be missing once the store drops them, and no
   * process could open. Resolves when it is written or the store has failed.
   */
  async checkpointEnd(): Promise<void> {
    if (this.health.isUnavailable) {
      return;
    }
    try {
      await this.replica.checkpointEnd();
    } catch (error) {
      this.health.failed(this.clock.monotonicMilliseconds(), error);
    }
  }

  /** Stops immediately; tokens held stay charged. */
  abort(): void {
    this.beginClosing();
    this.peers.close();
  }

  /** Returns false if no holder accepts the tokens, which are then credited again. */
  private async handOver(): Promise<boolean> {
    const given = this.debitAvailable();
    const isHandedOver = await this.borrower.handOver(given);
    if (!isHandedOver) {
      for (const {organisation, amount} of given) {
        this.registry.get(organisation)?.credit(amount);
      }
    }
    return isHandedOver;
  }

  /**
   * Returns all unreserved tokens to the store. It repeats exchanges while the store
   * answers: an append may have been lost, and the verdict on a grant request from before
   * the stop may add tokens.
   */
  private async returnAvailable(): Promise<void> {
    const endAt =
      this.clock.monotonicMilliseconds() + RETURN_RETRY_MILLISECONDS;
    for (;;) {
      for (const budget of this.registry.all) {
        this.planner.returnTokens(budget, budget.account.available);
      }
      await this.exchange();
      if (
        !this.mayReturnMore() ||
        this.clock.monotonicMilliseconds() >= endAt
      ) {
        return;
      }
      await this.clock.sleep(PENDING_RECORDS_INTERVAL_MILLISECONDS);
    }
  }

  /** Whether a further exchange may return tokens that the last one did not. */
  private mayReturnMore(): boolean {
    return (
      !this.health.isUnavailable &&
      !this.journal.isFenced &&
      (this.journal.hasPending ||
        this.hasWithheldGrants ||
        this.registry.all.some(({account}) => account.available > 0))
    );
  }

  /** Stops reservations, loans and exchanges. */
  private beginClosing(): void {
    this.isClosing = true;
    this.reservations.close();
    this.grantLender.close();
    this.stop.abort();
    this.wake.abort();
  }

  private async runExchanges(): Promise<void> {
    while (!this.stop.signal.aborted) {
      this.resetWake();
      const pause = await this.exchange();
      await this.clock.sleep(pause, this.wake.signal);
    }
  }

  private setPrepaid(name: string, prepaid: number, version: number): void {
    this.replica.setPrepaid(name, prepaid);
    const budget = this.registry.get(name);
    if (budget === undefined) {
      this.registry.add(
        new OrganisationBudget(name, prepaid, version, this.clock),
      );
      return;
    }
    if (prepaid < budget.prepaid) {
      // Tokens granted from the larger budget could be spent beyond the lowered one.
      this.planner.returnTokens(budget, budget.account.available);
    }
    if (prepaid !== budget.prepaid) {
      budget.hasUnreportedBudget = true;
      this.events.info('budget changed', {
        organisation: name,
        prepaid,
        previousPrepaid: budget.prepaid,
        version,
      });
    }
    budget.prepaid = prepaid;
    budget.configurationVersion = version;
  }

  /** Debits all unreserved tokens from the accounts. */
  private debitAvailable(): readonly GrantAmount[] {
    return this.registry.all
      .map(({name, account}) => ({
        organisation: name,
        amount: account.debit(account.available),
      }))
      .filter(({amount}) => amount > 0);
  }

  /**
   * Performs one exchange with the store.
   *
   * @returns The pause before the next exchange, milliseconds.
   */
  private async exchange(): Promise<number> {
    const wasUnavailable = this.health.isUnavailable;
    try {
      this.planGrants();
      this.health.called(this.clock.monotonicMilliseconds());
      await this.journal.exchange();
      this.health.answered(this.clock.monotonicMilliseconds());
      this.applyOutcomes();
      this.recordOpening();
      this.endLostRequests();
      this.replica.writeIfDue(this.journal.incarnation, () => {
        this.applyOutcomes();
      });
    } catch (error) {
      this.health.failed(this.clock.monotonicMilliseconds(), error);
      return RETRY_INTERVAL_MILLISECONDS;
    }
    if (
      wasUnavailable ||
      this.journal.hasPending ||
      this.mayRequestForWaiting()
    ) {
      return PENDING_RECORDS_INTERVAL_MILLISECONDS;
    }
    return this.hasWaitingRequests() || this.hasWithheldGrants
      ? WAITING_REQUESTS_INTERVAL_MILLISECONDS
      : budgetReadInterval(this.holderCount);
  }

  /** Applies the outcomes of an exchange; grants may wait for a higher ceiling. */
  private applyOutcomes(): void {
    const {incarnation} = this.journal;
    this.replica.takeOutcomes(incarnation).forEach(outcome => {
      this.applyOutcome(outcome);
    });
    const withheld = this.replica.withheldOrganisations(incarnation);
    for (const budget of this.registry.all) {
      const isWithheld = withheld.includes(budget.name);
      if (isWithheld && !budget.isGrantWithheld) {
        this.events.info('grant beyond its ceiling', {
          organisation: budget.name,
        });
      }
      budget.isGrantWithheld = isWithheld;
    }
  }

  private get hasWithheldGrants(): boolean {
    return this.registry.all.some(({isGrantWithheld}) => isGrantWithheld);
  }

  private recordOpening(): void {
    if (this.hasOpened || !this.journal.isOpen) {
      return;
    }
    this.hasOpened = true;
    this.events.info('budget holder opened', {
      incarnation: this.journal.incarnation,
      offset: this.replica.fold.nextOffset,
      holders: this.holderCount,
    });
  }

  /**
   * Ends grant requests without a verdict. The log may drop a verdict while this host is
   * disconnected; a checkpoint then has the request's effect but not its outcome.
   */
  private endLostRequests(): void {
    if (this.journal.hasPending) {
      return;
    }
    for (const budget of this.registry.all) {
      budget.isRequesting = budget.isGrantWithheld;
    }
  }

  private planGrants(): void {
    if (this.isClosing) {
      return;
    }
    if (this.journal.isFenced) {
      this.journal.reopen();
      for (const budget of this.registry.all) {
        budget.isRequesting = false;
        budget.hasUnreportedBudget = true;
      }
    }
    if (!this.hasOpened) {
      return;
    }
    for (const budget of this.registry.all) {
      this.planner.plan(budget);
    }
  }

  private applyOutcome(outcome: FoldOutcome): void {
    if (outcome.kind === 'opening') {
      this.logClosedGrants(outcome.closed);
      return;
    }
    const budget = this.registry.get(outcome.organisation);
    if (budget === undefined) {
      return;
    }
    if (outcome.kind === 'loan') {
      this.borrower.loanRecorded(budget, outcome);
    } else {
      this.planner.applyVerdict(budget, outcome);
    }
  }

  /** Logs the grants of this host's previous process, which were charged in full. */
  private logClosedGrants(closed: readonly ClosedGrant[]): void {
    for (const {organisation, charged, lastHeld} of closed) {
      this.events.info('grant of an ended process closed', {
        organisation,
        charged,
        lastHeld,
        ...this.describe(organisation),
      });
    }
  }

  private mayRequestForWaiting(): boolean {
    const now = this.clock.monotonicMilliseconds();
    return this.registry.all.some(budget => budget.mayRequestForWaiting(now));
  }

  private hasWaitingRequests(): boolean {
    return this.registry.all.some(({waiters}) => waiters.count > 0);
  }

  private resetWake(): void {
    if (this.wake.signal.aborted) {
      this.wake = new AbortController();
    }
  }
}

import type {
  ClosedGrant,
  FoldOutcome,
  GrantSizing,
} from '@wisteriadeal/budgets';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {BudgetRegistry} from './budget-registry.js';
import type {BudgetJournal} from './budget-journal.js';
import type {BudgetReplica} from './budget-replica.js';
import type {FleetConfiguration} from './configuration.js';
import {GrantBorrower} from './grant-borrower.js';
import {GrantLender} from './grant-lender.js';
import {GrantPlanner} from './grant-planner.js';
import type {GrantAmount, LoanHolder, LoanPeers} from './loan-peers.js';
import {OrganisationBudget} from './organisation-budget.js';
import type {StoreHealth} from './store-health.js';
import {TokenReservations} from './token-reservations.js';

/** The log is read at least this often: others' grants decide what is left. */
const POLL_INTERVAL_MILLISECONDS = 700;
/** Between turns while records are to be written. */
const PENDING_RECORDS_INTERVAL_MILLISECONDS = 5;
/** Between turns while requests wait for tokens that others may give back. */
const WAITING_REQUESTS_INTERVAL_MILLISECONDS = 25;
/** Between turns while the store fails. */
const RETRY_INTERVAL_MILLISECONDS = 200;

/**
 * Holds this process's grants: reservations are taken from them without a message.
 * One task keeps them filled through the log; while the store is away, holders that
 * see each other lend.
 */
export class BudgetHolder {
  /** What requests use and get. */
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
    this.registry = new BudgetRegistry(replica, health, clock);
    this.reservations = new TokenReservations(
      this.registry,
      this.borrower,
      () => {
        this.wake.abort();
      },
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

  /** What other holders call. */
  get lender(): LoanHolder {
    return this.grantLender;
  }

  /** What is known of an organisation's budget here, for dumps. */
  describe(organisation: string): Readonly<Record<string, number>> | undefined {
    return this.registry.describe(organisation);
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
   * Whether this host's callers are led to other hosts, which then need what is in hand
   * here where the log has little.
   */
  setLeaving(isLeaving: boolean): void {
    if (isLeaving !== this.planner.isLeaving) {
      this.planner.isLeaving = isLeaving;
      this.wake.abort();
    }
  }

  /** Keeps the grants filled until it is closed. */
  run(): Promise<void> {
    this.running = this.runExchanges();
    return this.running;
  }

  /**
   * Returns what nobody has reserved; ends when the store has it, or fails. While the
   * store is away another holder gets it: the whole would be lost, and hosts are
   * stopped in turn also during an outage.
   */
  async close(): Promise<void> {
    this.beginClosing();
    await this.running;
    if (this.health.isAway) {
      await this.borrower.handOver(this.debitAvailable());
    } else {
      for (const budget of this.registry.all) {
        this.planner.returnTokens(budget, budget.account.available);
      }
    }
    await this.exchange();
    this.peers.close();
  }

  /** Ends at once; what is held stays charged. */
  abort(): void {
    this.beginClosing();
    this.peers.close();
  }

  /** Takes, lends and asks for nothing more. */
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
    const budget = this.registry.get(name);
    if (budget === undefined) {
      this.registry.add(
        new OrganisationBudget(name, prepaid, version, this.clock),
      );
      return;
    }
    if (prepaid < budget.prepaid) {
      // Grants given under the larger budget could be spent beyond the new one.
      this.planner.returnTokens(budget, budget.account.available);
    }
    if (prepaid !== budget.prepaid) {
      budget.hasUnreportedBudget = true;
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
  private debitAvailable(): readonly GrantAmount[] {
    return this.registry.all
      .map(({name, account}) => ({
        organisation: name,
        amount: account.debit(account.available),
      }))
      .filter(({amount}) => amount > 0);
  }

  /** One exchange with the store; returns the pause before the next. */
  private async exchange(): Promise<number> {
    try {
      this.planGrants();
      this.health.called(this.clock.monotonicMilliseconds());
      const outcomes = await this.journal.exchange();
      this.health.answered(this.clock.monotonicMilliseconds());
      outcomes.forEach(outcome => {
        this.applyOutcome(outcome);
      });
      this.recordOpening();
      await this.replica.checkpointIfDue(this.journal.incarnation);
    } catch (error) {
      this.health.failed(this.clock.monotonicMilliseconds(), error);
      return RETRY_INTERVAL_MILLISECONDS;
    }
    if (this.journal.hasPending || this.mayRequestForWaiting()) {
      return PENDING_RECORDS_INTERVAL_MILLISECONDS;
    }
    return this.hasWaitingRequests()
      ? WAITING_REQUESTS_INTERVAL_MILLISECONDS
      : POLL_INTERVAL_MILLISECONDS;
  }

  private recordOpening(): void {
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

  private planGrants(): void {
    if (this.isClosing || !this.hasOpened) {
      return;
    }
    if (!this.journal.isOpen && !this.journal.hasPending) {
      this.journal.reopen();
      for (const budget of this.registry.all) {
        budget.isRequesting = false;
        budget.hasUnreportedBudget = true;
      }
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

  /** What the process before this one on the host had, and took with it. */
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

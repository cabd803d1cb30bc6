import {create} from '@bufbuild/protobuf';
import {
  BudgetFold,
  ChargePoint,
  chooseChargePoint,
  GrantAccount,
  lendersByHeldTokens,
  loanAmount,
  type GrantSizing,
} from '@wisteriadeal/budgets';
import {BudgetRecordSchema, type BudgetRecord} from '@wisteriadeal/schema';

import {
  HOST_COUNT,
  REPLAY_ORGANISATIONS,
  REPLAY_SECONDS,
  type HostSpan,
  type ReplayOrganisation,
  type ReplayScenario,
} from './budget-replay-scenarios.js';
import {SeededRandom} from './decisions-random.js';

type Change = Exclude<BudgetRecord['change'], {case: undefined}>;

/** A policy of grant sizes and charging. */
export interface ReplayPolicy {
  readonly name: string;
  readonly sizing: GrantSizing;
  readonly pooledPart: number;
  /** The latest point at which tokens are charged while the log has ample budget. */
  readonly chargePoint: ChargePoint;
}

/** Outcomes for callers, and their cost. */
export interface ReplayResult {
  /**
   * Requests that fitted into their organisation's budget, by the actual usage before
   * them.
   */
  readonly affordableRequests: number;
  readonly refusedAffordableRequests: number;
  readonly overspentTokens: number;
  /** Share of all budgets that failed processes held in grants. */
  readonly strandedPart: number;
  readonly records: number;
}

/** A host's process: its grant accounts, and records not yet written to the store. */
interface ReplayHost {
  readonly index: number;
  incarnation: string;
  sequence: number;
  accounts: Map<string, GrantAccount>;
  pending: BudgetRecord[];
}

/** A request in progress; its times are in seconds from the start of the replay. */
interface RunningRequest {
  readonly endsAt: number;
  readonly host: ReplayHost;
  readonly incarnation: string;
  readonly organisation: string;
  /** Maximum number of tokens that it can use. */
  readonly bound: number;
  /** True if it fitted into its organisation's budget when it arrived. */
  readonly isAffordable: boolean;
  readonly firstEventAt: number;
  /** True if its tokens are to be charged at its first event. */
  isChargeDeferred: boolean;
}

/** An organisation's tokens, summed over all hosts. */
interface Totals {
  readonly prepaid: number;
  used: number;
  reserved: number;
}

const MEDIAN_TOKENS = 3_500;
const TOKENS_SIGMA = 0.8;
/** Share of a request's token bound that it actually uses. */
const USED_SHARE = 0.91;
/** Share of a request's duration that passes before its first event. */
const FIRST_EVENT_SHARE = 0.3;
const MINIMUM_REQUEST_SECONDS = 0.5;
const MAXIMUM_REQUEST_SECONDS = 5;
/** Interval at which holders write records and resize their grants. */
const MAINTENANCE_INTERVAL_SECONDS = 0.7;
/** A request is affordable if it fits into this share of the prepaid tokens. */
const AFFORDABLE_SHARE = 0.97;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Replays a scenario under one budget policy on the budget fold and grant accounts,
 * without sockets or a clock: requests arrive, the store becomes unreachable, and hosts
 * fail. All policies get the same requests.
 */
export class BudgetReplay {
  private readonly fold = new BudgetFold();
  private readonly hosts: ReplayHost[];
  private readonly totals = new Map<string, Totals>();
  private running: RunningRequest[] = [];
  private startedHosts = 0;
  private affordableRequests = 0;
  private refusedAffordableRequests = 0;
  private strandedTokens = 0;
  private records = 0;
  /** Seconds since the start of the replay. */
  private now = 0;

  constructor(
    private readonly scenario: ReplayScenario,
    private readonly policy: ReplayPolicy,
    private readonly seed: number,
  ) {
    for (const organisation of REPLAY_ORGANISATIONS) {
      const prepaid = Math.round(
        expectedTokens(organisation) * organisation.budgetFactor,
      );
      this.totals.set(organisation.name, {prepaid, used: 0, reserved: 0});
    }
    this.hosts = Array.from({length: HOST_COUNT}, (_unused, index) =>
      this.openHost(index),
    );
  }

  /** Replays the whole scenario. */
  run(): ReplayResult {
    let nextMaintenance = 0;
    for (const arrival of this.arrivals()) {
      while (nextMaintenance <= arrival.at) {
        this.advanceTo(nextMaintenance);
        this.maintainGrants();
        nextMaintenance += MAINTENANCE_INTERVAL_SECONDS;
      }
      this.advanceTo(arrival.at);
      this.handleArrival(arrival);
    }
    const totals = [...this.totals.values()];
    const prepaidTokens = totals.reduce((sum, {prepaid}) => sum + prepaid, 0);
    return {
      affordableRequests: this.affordableRequests,
      refusedAffordableRequests: this.refusedAffordableRequests,
      overspentTokens: totals.reduce(
        (sum, {used, prepaid}) => sum + Math.max(0, used - prepaid),
        0,
      ),
      strandedPart: this.strandedTokens / prepaidTokens,
      records: this.records,
    };
  }

  private *arrivals(): Generator<Arrival> {
    const all = REPLAY_ORGANISATIONS.flatMap(organisation =>
      arrivalsOf(organisation, this.scenario, this.seed),
    );
    yield* all.sort((one, other) => one.at - other.at);
  }

  private advanceTo(at: number): void {
    for (const {hosts, from, to} of this.scenario.hostFailures) {
      if (this.now < from && from <= at) {
        this.completeUntil(from);
        hosts.forEach(index => {
          this.failHost(index);
        });
      }
      if (this.now < to && to <= at) {
        this.completeUntil(to);
        hosts.forEach(index => {
          this.hosts[index] = this.openHost(index);
        });
      }
    }
    this.completeUntil(at);
    this.now = at;
  }

  private completeUntil(at: number): void {
    this.deliverFirstEventsUntil(at);
    const ended = this.running.filter(({endsAt}) => endsAt <= at);
    this.running = this.running.filter(({endsAt}) => endsAt > at);
    for (const {host, incarnation, organisation, bound} of ended) {
      const used = Math.floor(bound * USED_SHARE);
      this.settleTotals(organisation, bound, used);
      if (host.incarnation === incarnation) {
        accountOf(host, organisation).settle(bound, used);
      }
    }
  }

  private deliverFirstEventsUntil(at: number): void {
    const dueRequests = this.running.filter(
      ({isChargeDeferred, firstEventAt}) =>
        isChargeDeferred && firstEventAt <= at,
    );
    for (const request of dueRequests) {
      const {host, organisation, bound} = request;
      request.isChargeDeferred = false;
      if (!this.tryChargeDeferred(host, organisation, bound)) {
        accountOf(host, organisation).cancelPromise(bound);
        this.running = this.running.filter(each => each !== request);
        this.settleTotals(organisation, bound, 0);
        this.refusedAffordableRequests += request.isAffordable ? 1 : 0;
      }
    }
  }

  private tryChargeDeferred(
    host: ReplayHost,
    organisation: string,
    bound: number,
  ): boolean {
    const account = accountOf(host, organisation);
    if (account.reservePromised(bound)) {
      return true;
    }
    if (this.reachesStore(host.index)) {
      this.requestGrant(host, organisation, bound, bound, true);
    }
    if (account.reservePromised(bound)) {
      return true;
    }
    this.borrow(host, organisation, bound);
    return account.reservePromised(bound);
  }

  private failHost(index: number): void {
    const host = this.host(index);
    const interrupted = this.running.filter(running => running.host === host);
    this.running = this.running.filter(running => running.host !== host);
    for (const {organisation, bound} of interrupted) {
      this.settleTotals(organisation, bound, 0);
    }
    for (const account of host.accounts.values()) {
      this.strandedTokens += account.held;
    }
    host.incarnation = '';
  }

  private settleTotals(name: string, bound: number, used: number): void {
    const totals = this.totalsOf(name);
    totals.reserved -= bound;
    totals.used += used;
  }

  private maintainGrants(): void {
    for (const host of this.hosts) {
      if (host.incarnation === '' || !this.reachesStore(host.index)) {
        continue;
      }
      this.flushRecords(host);
      for (const {name} of REPLAY_ORGANISATIONS) {
        this.resizeGrant(host, name);
      }
    }
  }

  private resizeGrant(host: ReplayHost, organisation: string): void {
    const account = accountOf(host, organisation);
    const {prepaid} = this.totalsOf(organisation);
    const view = this.fold.view(organisation);
    const change = this.policy.sizing.planChange(
      account,
      view,
      prepaid,
      this.now * MILLISECONDS_PER_SECOND,
    );
    if (change.returnTokens > 0) {
      const amount = account.debit(change.returnTokens);
      this.enqueueRecord(host, {
        case: 'returned',
        value: {
          $typeName: 'wisteriadeal.v1.GrantReturned',
          organisation,
          amount,
          held: account.held,
        },
      });
      this.flushRecords(host);
    } else if (change.requestTokens > 0 || view === undefined) {
      this.requestGrant(
        host,
        organisation,
        change.requestTokens,
        change.minimumTokens,
        false,
      );
    }
  }

  private handleArrival({
    organisation,
    at,
    bound,
    seconds,
    host: index,
  }: Arrival): void {
    const totals = this.totalsOf(organisation);
    const committedTokens = totals.used + totals.reserved;
    const isAffordable =
      committedTokens + bound <= AFFORDABLE_SHARE * totals.prepaid;
    const host = this.host(index);
    if (host.incarnation === '') {
      return;
    }
    this.affordableRequests += isAffordable ? 1 : 0;
    const isChargeDeferred = this.deferCharge(host, organisation, bound);
    if (!isChargeDeferred && !this.reserve(host, organisation, bound)) {
      this.refusedAffordableRequests += isAffordable ? 1 : 0;
      return;
    }
    totals.reserved += bound;
    this.running.push({
      endsAt: at + seconds,
      firstEventAt: at + FIRST_EVENT_SHARE * seconds,
      host,
      incarnation: host.incarnation,
      organisation,
      bound,
      isAffordable,
      isChargeDeferred,
    });
  }

  private deferCharge(
    host: ReplayHost,
    organisation: string,
    bound: number,
  ): boolean {
    if (this.policy.chargePoint === ChargePoint.Dispatch) {
      return false;
    }
    const account = accountOf(host, organisation);
    const view = this.fold.view(organisation);
    const isLogReachable = this.reachesStore(host.index);
    if (
      chooseChargePoint(account, view, bound, isLogReachable) ===
      ChargePoint.Dispatch
    ) {
      return false;
    }
    account.promise(bound, this.now * MILLISECONDS_PER_SECOND);
    return true;
  }

  private reserve(
    host: ReplayHost,
    organisation: string,
    bound: number,
  ): boolean {
    const account = accountOf(host, organisation);
    const now = this.now * MILLISECONDS_PER_SECOND;
    if (account.reserve(bound, now)) {
      return true;
    }
    if (this.reachesStore(host.index)) {
      this.requestGrant(host, organisation, bound, bound, true);
    }
    if (account.reserve(bound, now)) {
      return true;
    }
    this.borrow(host, organisation, bound);
    return account.reserve(bound, now);
  }

  private borrow(host: ReplayHost, organisation: string, bound: number): void {
    const account = accountOf(host, organisation);
    const lenders = lendersByHeldTokens(
      this.fold,
      organisation,
      host.incarnation,
    );
    for (const {incarnation} of lenders) {
      const lender = this.hosts.find(each => each.incarnation === incarnation);
      if (account.available >= bound) {
        return;
      }
      if (lender === undefined || !this.canConnect(host, lender)) {
        continue;
      }
      this.lend(lender, host, organisation, bound - account.available);
    }
  }

  private lend(
    lender: ReplayHost,
    borrower: ReplayHost,
    organisation: string,
    minimumTokens: number,
  ): void {
    const account = accountOf(lender, organisation);
    const amount = account.debit(
      loanAmount(account, minimumTokens, 3 * minimumTokens),
    );
    if (amount === 0) {
      return;
    }
    accountOf(borrower, organisation).credit(amount);
    this.enqueueRecord(lender, {
      case: 'lent',
      value: {
        $typeName: 'wisteriadeal.v1.GrantLent',
        organisation,
        borrower: borrower.incarnation,
        amount,
        held: account.held,
        loan: '',
      },
    });
  }

  private requestGrant(
    host: ReplayHost,
    organisation: string,
    requestedTokens: number,
    minimumTokens: number,
    urgent: boolean,
  ): void {
    this.enqueueRecord(host, {
      case: 'requested',
      value: {
        $typeName: 'wisteriadeal.v1.GrantRequested',
        organisation,
        wish: requestedTokens,
        least: minimumTokens,
        urgent,
        prepaid: this.totalsOf(organisation).prepaid,
        configurationVersion: 1,
        held: accountOf(host, organisation).held,
        pooledPart: this.policy.pooledPart,
      },
    });
    this.flushRecords(host);
  }

  private openHost(index: number): ReplayHost {
    const host: ReplayHost = {
      index,
      incarnation: `start-${this.startedHosts++}`,
      sequence: 0,
      accounts: new Map(),
      pending: [],
    };
    this.enqueueRecord(host, {
      case: 'opened',
      value: {
        $typeName: 'wisteriadeal.v1.HolderOpened',
        host: `host-${index}`,
        address: `host-${index}`,
        dataCenter: 'a',
        region: '',
      },
    });
    return host;
  }

  private enqueueRecord(host: ReplayHost, change: Change): void {
    host.sequence++;
    const {incarnation, sequence} = host;
    host.pending.push(
      create(BudgetRecordSchema, {incarnation, sequence, change}),
    );
  }

  private flushRecords(host: ReplayHost): void {
    for (const record of host.pending.splice(0)) {
      this.records++;
      const outcome = this.fold.apply(record);
      if (outcome?.kind === 'grant') {
        accountOf(host, outcome.organisation).credit(outcome.granted);
      }
    }
  }

  private reachesStore(host: number): boolean {
    const {storeOutages, dataCenterPartitions} = this.scenario;
    return !this.isWithin([...storeOutages, ...dataCenterPartitions], host);
  }

  private canConnect(one: ReplayHost, other: ReplayHost): boolean {
    const {dataCenterPartitions} = this.scenario;
    return (
      this.isWithin(dataCenterPartitions, one.index) ===
      this.isWithin(dataCenterPartitions, other.index)
    );
  }

  private isWithin(spans: readonly HostSpan[], host: number): boolean {
    return spans.some(
      ({hosts, from, to}) =>
        from <= this.now && this.now < to && hosts.includes(host),
    );
  }

  private host(index: number): ReplayHost {
    const host = this.hosts[index];
    if (host === undefined) {
      throw new RangeError(`host index ${index} does not exist`);
    }
    return host;
  }

  private totalsOf(name: string): Totals {
    const totals = this.totals.get(name);
    if (totals === undefined) {
      throw new RangeError(`organisation ${name} does not exist`);
    }
    return totals;
  }
}

/** A request when it arrives at a host. */
interface Arrival {
  /** Seconds since the start of the replay. */
  readonly at: number;
  readonly organisation: string;
  /** Maximum number of tokens that the request can use. */
  readonly bound: number;
  /** Duration of the request. */
  readonly seconds: number;
  /** Index of the host. */
  readonly host: number;
}

function arrivalsOf(
  {name, requestsPerSecond, host}: ReplayOrganisation,
  {burst}: ReplayScenario,
  seed: number,
): Arrival[] {
  const random = new SeededRandom(seed, name);
  const arrivals: Arrival[] = [];
  let at = 0;
  for (;;) {
    const isBurst =
      name === REPLAY_ORGANISATIONS[0]?.name &&
      burst !== undefined &&
      burst.from <= at &&
      at < burst.to;
    const factor = isBurst ? burst.factor : 1;
    at += random.exponential(1 / (requestsPerSecond * factor));
    if (at >= REPLAY_SECONDS) {
      return arrivals;
    }
    arrivals.push({
      at,
      organisation: name,
      bound: Math.ceil(random.logNormal(MEDIAN_TOKENS, TOKENS_SIGMA)),
      seconds:
        MINIMUM_REQUEST_SECONDS +
        random.fraction() * (MAXIMUM_REQUEST_SECONDS - MINIMUM_REQUEST_SECONDS),
      host: host ?? random.between(0, HOST_COUNT - 1),
    });
  }
}

function expectedTokens({requestsPerSecond}: ReplayOrganisation): number {
  const mean = MEDIAN_TOKENS * Math.exp(TOKENS_SIGMA ** 2 / 2);
  return requestsPerSecond * REPLAY_SECONDS * mean * USED_SHARE;
}

function accountOf(host: ReplayHost, organisation: string): GrantAccount {
  let account = host.accounts.get(organisation);
  if (account === undefined) {
    account = new GrantAccount();
    host.accounts.set(organisation, account);
  }
  return account;
}

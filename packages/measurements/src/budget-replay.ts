import {create} from '@bufbuild/protobuf';
import {
  BudgetFold,
  ChargePoint,
  chargePoint,
  GrantAccount,
  lendersOf,
  loanFor,
  type GrantSizing,
} from '@wisteriadeal/budgets';
import {BudgetRecordSchema, type BudgetRecord} from '@wisteriadeal/schema';

import {
  HOSTS,
  REPLAY_ORGANISATIONS,
  SECONDS,
  type HostSpan,
  type ReplayOrganisation,
  type ReplayScenario,
} from './budget-replay-scenarios.js';
import {SeededRandom} from './decisions-random.js';

type Change = Exclude<BudgetRecord['change'], {case: undefined}>;

/** What a policy is made of. */
export interface ReplayPolicy {
  readonly name: string;
  readonly sizing: GrantSizing;
  readonly pooledPart: number;
  /** The latest moment at which tokens are taken, where the log has plenty. */
  readonly chargePoint: ChargePoint;
}

/** What callers saw, and what it cost. */
export interface ReplayResult {
  /** Requests that fitted into their budget by what was really used. */
  readonly owed: number;
  readonly refusedOwed: number;
  readonly overspentTokens: number;
  /** Tokens of all budgets that dead processes had in hand, in parts of the whole. */
  readonly strandedPart: number;
  readonly records: number;
}

/** One process: what it holds, and records that wait for the store. */
interface ReplayHost {
  readonly index: number;
  incarnation: string;
  sequence: number;
  accounts: Map<string, GrantAccount>;
  pending: BudgetRecord[];
}

interface RunningRequest {
  readonly endsAt: number;
  readonly host: ReplayHost;
  readonly incarnation: string;
  readonly organisation: string;
  readonly bound: number;
  readonly isOwed: boolean;
  /** When its first event is there, seconds. */
  readonly answersAt: number;
  /** Its tokens are taken when its first event is there. */
  isPromised: boolean;
}

interface Totals {
  readonly prepaid: number;
  used: number;
  reserved: number;
}

const MEDIAN_TOKENS = 3_500;
const TOKENS_SIGMA = 0.8;
/** Callers are told a bound; about this part of it is used. */
const USED_PART = 0.91;
/** This part of a request's time is over before its first event. */
const UNANSWERED_PART = 0.3;
const SHORTEST_SECONDS = 0.5;
const LONGEST_SECONDS = 5;
/** Holders look at their grants so often. */
const TURN_SECONDS = 0.7;
/** A request is owed if it fits into this part of what was paid. */
const OWED_PART = 0.97;
const MILLISECONDS = 1_000;

/**
 * Replays a day of one budget policy on the fold and the accounts, without sockets
 * or a clock: callers come, the store goes away, hosts die. Every policy meets the
 * same requests.
 */
export class BudgetReplay {
  private readonly fold = new BudgetFold();
  private readonly hosts: ReplayHost[];
  private readonly totals = new Map<string, Totals>();
  private running: RunningRequest[] = [];
  private starts = 0;
  private owed = 0;
  private refusedOwed = 0;
  private stranded = 0;
  private records = 0;
  private now = 0;

  constructor(
    private readonly scenario: ReplayScenario,
    private readonly policy: ReplayPolicy,
    private readonly seed: number,
  ) {
    for (const organisation of REPLAY_ORGANISATIONS) {
      const prepaid = Math.round(
        usualUse(organisation) * organisation.budgetFactor,
      );
      this.totals.set(organisation.name, {prepaid, used: 0, reserved: 0});
    }
    this.hosts = Array.from({length: HOSTS}, (_unused, index) =>
      this.opened(index),
    );
  }

  /** Plays the whole day. */
  run(): ReplayResult {
    let nextTurn = 0;
    for (const arrival of this.arrivals()) {
      while (nextTurn <= arrival.at) {
        this.moveTo(nextTurn);
        this.turnAll();
        nextTurn += TURN_SECONDS;
      }
      this.moveTo(arrival.at);
      this.arrive(arrival);
    }
    const totals = [...this.totals.values()];
    const paid = totals.reduce((sum, {prepaid}) => sum + prepaid, 0);
    return {
      owed: this.owed,
      refusedOwed: this.refusedOwed,
      overspentTokens: totals.reduce(
        (sum, {used, prepaid}) => sum + Math.max(0, used - prepaid),
        0,
      ),
      strandedPart: this.stranded / paid,
      records: this.records,
    };
  }

  private *arrivals(): Generator<Arrival> {
    const all = REPLAY_ORGANISATIONS.flatMap(organisation =>
      arrivalsOf(organisation, this.scenario, this.seed),
    );
    yield* all.sort((one, other) => one.at - other.at);
  }

  private moveTo(at: number): void {
    for (const {hosts, from, to} of this.scenario.deaths) {
      if (this.now < from && from <= at) {
        this.endUntil(from);
        hosts.forEach(index => {
          this.die(index);
        });
      }
      if (this.now < to && to <= at) {
        this.endUntil(to);
        hosts.forEach(index => {
          this.hosts[index] = this.opened(index);
        });
      }
    }
    this.endUntil(at);
    this.now = at;
  }

  private endUntil(at: number): void {
    this.answerUntil(at);
    const ended = this.running.filter(({endsAt}) => endsAt <= at);
    this.running = this.running.filter(({endsAt}) => endsAt > at);
    for (const {host, incarnation, organisation, bound} of ended) {
      const used = Math.floor(bound * USED_PART);
      this.settleTotals(organisation, bound, used);
      if (host.incarnation === incarnation) {
        accountOf(host, organisation).settle(bound, used);
      }
    }
  }

  private answerUntil(at: number): void {
    const due = this.running.filter(
      ({isPromised, answersAt}) => isPromised && answersAt <= at,
    );
    for (const request of due) {
      const {host, organisation, bound} = request;
      request.isPromised = false;
      if (!this.keepPromise(host, organisation, bound)) {
        accountOf(host, organisation).dropPromise(bound);
        this.running = this.running.filter(each => each !== request);
        this.settleTotals(organisation, bound, 0);
        this.refusedOwed += request.isOwed ? 1 : 0;
      }
    }
  }

  private keepPromise(
    host: ReplayHost,
    organisation: string,
    bound: number,
  ): boolean {
    const account = accountOf(host, organisation);
    if (account.keepPromise(bound)) {
      return true;
    }
    if (this.reachesStore(host.index)) {
      this.ask(host, organisation, bound, bound, true);
    }
    if (account.keepPromise(bound)) {
      return true;
    }
    this.borrow(host, organisation, bound);
    return account.keepPromise(bound);
  }

  private die(index: number): void {
    const host = this.host(index);
    const cut = this.running.filter(running => running.host === host);
    this.running = this.running.filter(running => running.host !== host);
    for (const {organisation, bound} of cut) {
      this.settleTotals(organisation, bound, 0);
    }
    for (const account of host.accounts.values()) {
      this.stranded += account.held;
    }
    host.incarnation = '';
  }

  private settleTotals(name: string, bound: number, used: number): void {
    const totals = this.totalsOf(name);
    totals.reserved -= bound;
    totals.used += used;
  }

  private turnAll(): void {
    for (const host of this.hosts) {
      if (host.incarnation === '' || !this.reachesStore(host.index)) {
        continue;
      }
      this.write(host);
      for (const {name} of REPLAY_ORGANISATIONS) {
        this.resize(host, name);
      }
    }
  }

  private resize(host: ReplayHost, organisation: string): void {
    const account = accountOf(host, organisation);
    const {prepaid} = this.totalsOf(organisation);
    const view = this.fold.view(organisation);
    const change = this.policy.sizing.change(
      account,
      view,
      prepaid,
      this.now * MILLISECONDS,
    );
    if (change.giveBack > 0) {
      const amount = account.debit(change.giveBack);
      this.add(host, {
        case: 'returned',
        value: {
          $typeName: 'wisteriadeal.v1.GrantReturned',
          organisation,
          amount,
          held: account.held,
        },
      });
      this.write(host);
    } else if (change.wish > 0 || view === undefined) {
      this.ask(host, organisation, change.wish, change.least, false);
    }
  }

  private arrive({
    organisation,
    at,
    bound,
    seconds,
    host: index,
  }: Arrival): void {
    const totals = this.totalsOf(organisation);
    const known = totals.used + totals.reserved;
    const isOwed = known + bound <= OWED_PART * totals.prepaid;
    const host = this.host(index);
    if (host.incarnation === '') {
      return;
    }
    this.owed += isOwed ? 1 : 0;
    const isPromised = this.promise(host, organisation, bound);
    if (!isPromised && !this.reserve(host, organisation, bound)) {
      this.refusedOwed += isOwed ? 1 : 0;
      return;
    }
    totals.reserved += bound;
    this.running.push({
      endsAt: at + seconds,
      answersAt: at + UNANSWERED_PART * seconds,
      host,
      incarnation: host.incarnation,
      organisation,
      bound,
      isOwed,
      isPromised,
    });
  }

  private promise(
    host: ReplayHost,
    organisation: string,
    bound: number,
  ): boolean {
    if (this.policy.chargePoint === ChargePoint.Dispatch) {
      return false;
    }
    const account = accountOf(host, organisation);
    const view = this.fold.view(organisation);
    const isLogAtHand = this.reachesStore(host.index);
    if (
      chargePoint(account, view, bound, isLogAtHand) === ChargePoint.Dispatch
    ) {
      return false;
    }
    account.promise(bound, this.now * MILLISECONDS);
    return true;
  }

  private reserve(
    host: ReplayHost,
    organisation: string,
    bound: number,
  ): boolean {
    const account = accountOf(host, organisation);
    const now = this.now * MILLISECONDS;
    if (account.reserve(bound, now)) {
      return true;
    }
    if (this.reachesStore(host.index)) {
      this.ask(host, organisation, bound, bound, true);
    }
    if (account.reserve(bound, now)) {
      return true;
    }
    this.borrow(host, organisation, bound);
    return account.reserve(bound, now);
  }

  private borrow(host: ReplayHost, organisation: string, bound: number): void {
    const account = accountOf(host, organisation);
    const lenders = lendersOf(this.fold, organisation, host.incarnation);
    for (const {incarnation} of lenders) {
      const lender = this.hosts.find(each => each.incarnation === incarnation);
      if (account.available >= bound) {
        return;
      }
      if (lender === undefined || !this.seeEachOther(host, lender)) {
        continue;
      }
      this.lend(lender, host, organisation, bound - account.available);
    }
  }

  private lend(
    lender: ReplayHost,
    borrower: ReplayHost,
    organisation: string,
    least: number,
  ): void {
    const account = accountOf(lender, organisation);
    const amount = account.debit(loanFor(account, least, 3 * least));
    if (amount === 0) {
      return;
    }
    accountOf(borrower, organisation).credit(amount);
    this.add(lender, {
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

  private ask(
    host: ReplayHost,
    organisation: string,
    wish: number,
    least: number,
    urgent: boolean,
  ): void {
    this.add(host, {
      case: 'requested',
      value: {
        $typeName: 'wisteriadeal.v1.GrantRequested',
        organisation,
        wish,
        least,
        urgent,
        prepaid: this.totalsOf(organisation).prepaid,
        configurationVersion: 1,
        held: accountOf(host, organisation).held,
        pooledPart: this.policy.pooledPart,
      },
    });
    this.write(host);
  }

  private opened(index: number): ReplayHost {
    const host: ReplayHost = {
      index,
      incarnation: `start-${this.starts++}`,
      sequence: 0,
      accounts: new Map(),
      pending: [],
    };
    this.add(host, {
      case: 'opened',
      value: {
        $typeName: 'wisteriadeal.v1.HolderOpened',
        host: `host-${index}`,
        address: `host-${index}`,
      },
    });
    return host;
  }

  private add(host: ReplayHost, change: Change): void {
    host.sequence++;
    const {incarnation, sequence} = host;
    host.pending.push(
      create(BudgetRecordSchema, {incarnation, sequence, change}),
    );
  }

  private write(host: ReplayHost): void {
    for (const record of host.pending.splice(0)) {
      this.records++;
      const outcome = this.fold.apply(record);
      if (outcome?.kind === 'grant') {
        accountOf(host, outcome.organisation).credit(outcome.granted);
      }
    }
  }

  private reachesStore(host: number): boolean {
    const {storeCuts, dataCenterCuts} = this.scenario;
    return !this.isWithin([...storeCuts, ...dataCenterCuts], host);
  }

  private seeEachOther(one: ReplayHost, other: ReplayHost): boolean {
    const {dataCenterCuts} = this.scenario;
    return (
      this.isWithin(dataCenterCuts, one.index) ===
      this.isWithin(dataCenterCuts, other.index)
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
      throw new RangeError(`no host ${index}`);
    }
    return host;
  }

  private totalsOf(name: string): Totals {
    const totals = this.totals.get(name);
    if (totals === undefined) {
      throw new RangeError(`no organisation ${name}`);
    }
    return totals;
  }
}

interface Arrival {
  readonly at: number;
  readonly organisation: string;
  readonly bound: number;
  readonly seconds: number;
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
    if (at >= SECONDS) {
      return arrivals;
    }
    arrivals.push({
      at,
      organisation: name,
      bound: Math.ceil(random.logNormal(MEDIAN_TOKENS, TOKENS_SIGMA)),
      seconds:
        SHORTEST_SECONDS +
        random.fraction() * (LONGEST_SECONDS - SHORTEST_SECONDS),
      host: host ?? random.between(0, HOSTS - 1),
    });
  }
}

function usualUse({requestsPerSecond}: ReplayOrganisation): number {
  const mean = MEDIAN_TOKENS * Math.exp(TOKENS_SIGMA ** 2 / 2);
  return requestsPerSecond * SECONDS * mean * USED_PART;
}

function accountOf(host: ReplayHost, organisation: string): GrantAccount {
  let account = host.accounts.get(organisation);
  if (account === undefined) {
    account = new GrantAccount();
    host.accounts.set(organisation, account);
  }
  return account;
}

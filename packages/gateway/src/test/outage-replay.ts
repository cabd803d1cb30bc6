import {vi} from 'vitest';

import type {BudgetHolder} from '../budget-holder.js';
import {HolderFleet} from './holder-fleet.js';

const DATA_CENTERS = 3;
const RESERVE = {pooledPart: 1, seconds: 12};
const SECONDS = 34;
/** No host reaches the store in these spans of the traffic, in seconds. */
const OUTAGES = [
  {from: 5, to: 13},
  {from: 24, to: 32},
];
/** Span without an outage after which all hosts know their load, in seconds. */
const CALM = {from: 15, to: 24};
const TICK_MILLISECONDS = 10;
const ANSWER_MILLISECONDS = 300;
/** Share of callers that come to hosts of one data centre in an outage. */
const MOVED_SHARE = 2 / 3;
const LONG_SHARE = 0.4;
const LONG_FACTOR = 2.1;
const SHORT_FACTOR = 0.25;
const USED_SHARE = 0.9;
const DELIVERY_MILLISECONDS = 2_000;

/** One organisation's callers and budget. */
export interface OutageLoad {
  readonly name: string;
  /** Number of hosts that its callers use in calm times. */
  readonly usedHosts: number;
  readonly requestsPerSecond: number;
  /** Factor of the request rate in outages. */
  readonly outageFactor: number;
  /** Mean tokens of a request; two in five are eight times as long as the others. */
  readonly bound: number;
  /** Seconds of usage that the budget covers. */
  readonly budgetSeconds: number;
}

/** What happened in a replay. */
export interface OutageResult {
  readonly servedInOutages: number;
  /** Refused requests in each outage. */
  readonly refusedInOutages: readonly number[];
  readonly refusedInCalm: number;
  readonly refusedByOrganisation: Readonly<Record<string, number>>;
  /** Loan requests between hosts for each request served in an outage. */
  readonly loansPerServed: number;
  /** Share of these that got no tokens. */
  readonly emptyLoanShare: number;
  /** Records per second on the budget log without an outage. */
  readonly recordsPerSecond: number;
  /** Part of all budgets that would be lost if all hosts died, after each second. */
  readonly heldParts: readonly number[];
  /** Tokens spent beyond a budget. */
  readonly overspent: number;
}

/** Replays outages of the store in which callers change hosts, with real holders. */
export async function replayOutages(
  hosts: number,
  loads: readonly OutageLoad[],
  seed: number,
): Promise<OutageResult> {
  vi.useFakeTimers();
  const replay = new OutageReplay(hosts, loads, seed);
  try {
    return await replay.run();
  } finally {
    replay.close();
    vi.useRealTimers();
  }
}

class OutageReplay {
  private readonly fleet: HolderFleet;
  private readonly holders: BudgetHolder[] = [];
  private readonly spent = new Map<string, number>();
  private readonly refused: Record<string, number> = {};
  private state: number;
  private served = 0;
  private readonly refusedInOutages = OUTAGES.map(() => 0);
  private refusedInCalm = 0;
  /** Index of the current outage; -1 between outages. */
  private outage = -1;

  constructor(
    private readonly hosts: number,
    private readonly loads: readonly OutageLoad[],
    seed: number,
  ) {
    this.state = seed;
    this.fleet = new HolderFleet(0, RESERVE);
  }

  close(): void {
    this.fleet.close();
  }

  async run(): Promise<OutageResult> {
    await this.start();
    const startedAt = performance.now();
    const heldParts: number[] = [];
    let loans = 0;
    let emptyLoans = 0;
    let calmRecords = 0;
    while (performance.now() - startedAt < SECONDS * 1_000) {
      const second = (performance.now() - startedAt) / 1_000;
      this.outage = OUTAGES.findIndex(
        ({from, to}) => second >= from && second < to,
      );
      this.fleet.log.faults.isUnavailable = this.isOutage;
      const loansBefore = this.fleet.traffic.loans;
      const emptyBefore = this.fleet.traffic.emptyLoans;
      const recordsBefore = this.fleet.traffic.records;
      for (let tick = 0; tick < 1_000; tick += TICK_MILLISECONDS) {
        this.arrive();
        await vi.advanceTimersByTimeAsync(TICK_MILLISECONDS);
      }
      emptyLoans += this.isOutage
        ? this.fleet.traffic.emptyLoans - emptyBefore
        : 0;
      loans += this.isOutage ? this.fleet.traffic.loans - loansBefore : 0;
      if (second >= CALM.from && second < CALM.to) {
        calmRecords += this.fleet.traffic.records - recordsBefore;
      }
      heldParts.push(this.heldPart());
    }
    await vi.advanceTimersByTimeAsync(DELIVERY_MILLISECONDS);
    return {
      servedInOutages: this.served,
      refusedInOutages: this.refusedInOutages,
      refusedInCalm: this.refusedInCalm,
      refusedByOrganisation: this.refused,
      loansPerServed: loans / this.served,
      emptyLoanShare: emptyLoans / Math.max(1, loans),
      recordsPerSecond: calmRecords / (CALM.to - CALM.from),
      heldParts,
      overspent: this.loads.reduce(
        (sum, load) =>
          sum + Math.max(0, (this.spent.get(load.name) ?? 0) - prepaidOf(load)),
        0,
      ),
    };
  }

  private get isOutage(): boolean {
    return this.outage >= 0;
  }

  private async start(): Promise<void> {
    const starting = Array.from({length: this.hosts}, (_unused, host) =>
      this.fleet.start(`host-${host}`, `zone-${host % DATA_CENTERS}`),
    );
    await vi.advanceTimersByTimeAsync(2_000);
    this.holders.push(...(await Promise.all(starting)));
    for (const load of this.loads) {
      this.fleet.addBudget(load.name, prepaidOf(load));
    }
    await vi.advanceTimersByTimeAsync(3_000);
  }

  private arrive(): void {
    for (const load of this.loads) {
      const factor = this.isOutage ? load.outageFactor : 1;
      const expected =
        (factor * load.requestsPerSecond * TICK_MILLISECONDS) / 1_000;
      const whole = Math.floor(expected);
      const count = whole + (this.nextFraction() < expected - whole ? 1 : 0);
      for (let request = 0; request < count; request++) {
        void this.serve(load);
      }
    }
  }

  private async serve(load: OutageLoad): Promise<void> {
    const {name} = load;
    const holder = this.chooseHolder(load);
    const isLong = this.nextFraction() < LONG_SHARE;
    const bound = Math.round(
      load.bound * (isLong ? LONG_FACTOR : SHORT_FACTOR),
    );
    const {outage} = this;
    const {reservations} = holder;
    const reserved = await reservations.reserve(name, {
      bound,
      mayPromise: true,
    });
    let isServed = false;
    if ('reservation' in reserved) {
      await new Promise(resolve => setTimeout(resolve, ANSWER_MILLISECONDS));
      const result = await reservations.reservePromised(reserved.reservation, {
        milliseconds: DELIVERY_MILLISECONDS,
        signal: new AbortController().signal,
      });
      isServed = result.refusal === undefined;
      const used = isServed ? Math.round(bound * USED_SHARE) : 0;
      reservations.settle(result.reservation, used);
      this.spent.set(name, (this.spent.get(name) ?? 0) + used);
    }
    this.count(name, isServed, outage);
  }

  private count(name: string, isServed: boolean, outage: number): void {
    if (isServed) {
      this.served += outage >= 0 ? 1 : 0;
    } else if (outage >= 0) {
      this.refusedInOutages[outage] = (this.refusedInOutages[outage] ?? 0) + 1;
      this.refused[name] = (this.refused[name] ?? 0) + 1;
    } else {
      this.refusedInCalm++;
    }
  }

  /** Moved callers come to the hosts of the first data centre. */
  private chooseHolder({usedHosts}: OutageLoad): BudgetHolder {
    const isMoved = this.isOutage && this.nextFraction() < MOVED_SHARE;
    const index = isMoved
      ? DATA_CENTERS *
        Math.floor((this.nextFraction() * this.hosts) / DATA_CENTERS)
      : Math.floor(this.nextFraction() * usedHosts);
    const holder = this.holders[index];
    if (holder === undefined) {
      throw new RangeError(`host ${index} does not exist`);
    }
    return holder;
  }

  private heldPart(): number {
    let held = 0;
    let prepaid = 0;
    for (const load of this.loads) {
      prepaid += prepaidOf(load);
      for (const holder of this.holders) {
        held += holder.describe(load.name)?.available ?? 0;
      }
    }
    return held / prepaid;
  }

  /** A repeatable source of numbers from 0 to below 1 (Marsaglia's xorshift). */
  private nextFraction(): number {
    this.state ^= this.state << 13;
    this.state ^= this.state >>> 17;
    this.state ^= this.state << 5;
    return (this.state >>> 0) / 2 ** 32;
  }
}

function prepaidOf({
  requestsPerSecond,
  bound,
  budgetSeconds,
}: OutageLoad): number {
  return Math.round(requestsPerSecond * bound * budgetSeconds);
}

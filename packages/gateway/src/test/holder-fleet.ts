import {DemandSizing} from '@wisteriadeal/budgets';
import {
  Fate,
  PartitionedLog,
  StepError,
  type KeyedValue,
  type Partition,
} from '@wisteriadeal/platform';
import {EventLog, SystemClock} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {FakeHostLink, MemoryPartitionedLog} from '@wisteriadeal/stand-ins';

import {BudgetHolder} from '../budget-holder.js';
import {BudgetJournal} from '../budget-journal.js';
import {BudgetReplica} from '../budget-replica.js';
import type {FleetConfiguration} from '../configuration.js';
import {
  LoanPeers,
  type GrantHandover,
  type LateAnswerHandler,
  type LoanAnswer,
  type LoanRequest,
} from '../loan-peers.js';
import {LoopLag} from '../loop-lag.js';
import {StoreHealth} from '../store-health.js';

export const SCHOOL = 'school';
const POOLED_PART = 0.5;
const RESERVE_SECONDS = 10;
const CHECKPOINT_MILLISECONDS = 60_000;

/** Injected faults of calls between holders. */
export interface PeerFaults {
  /** Whether answers to loans are lost after the lender deducted the tokens. */
  losesAnswers: boolean;
  /** Time by which answers to loans exceed their timeout; 0 for answers in time. */
  answerDelayMilliseconds: number;
}

/** What the holders of a fleet have sent so far. */
export interface FleetTraffic {
  /** Loan requests. */
  loans: number;
  /** Loan requests that got no tokens. */
  emptyLoans: number;
  /** Records on the log. */
  records: number;
}

/** How a fleet's hosts size their grants. */
export interface FleetReserve {
  readonly pooledPart: number;
  readonly seconds: number;
}

/** Calls holders in the same process by their addresses. */
class DirectPeers extends LoanPeers {
  constructor(
    private readonly holders: ReadonlyMap<string, BudgetHolder>,
    private readonly faults: PeerFaults,
    private readonly traffic: FleetTraffic,
  ) {
    super();
  }

  override async borrow(
    address: string,
    request: LoanRequest,
    onLateAnswer?: LateAnswerHandler,
  ): Promise<LoanAnswer | undefined> {
    const {losesAnswers, answerDelayMilliseconds} = this.faults;
    this.traffic.loans++;
    const answer = await this.holder(address).lender.lend(request);
    this.traffic.emptyLoans += answer.lent > 0 ? 0 : 1;
    const isLate = answerDelayMilliseconds > 0;
    if (losesAnswers || (isLate && onLateAnswer === undefined)) {
      throw new StepError('borrow grant', address, Fate.Unknown, 'answer lost');
    }
    if (!isLate) {
      return answer;
    }
    onLateAnswer?.(
      new Promise(resolve => {
        setTimeout(resolve, answerDelayMilliseconds, answer);
      }),
    );
    return undefined;
  }

  override handOver(
    address: string,
    handover: GrantHandover,
  ): Promise<boolean> {
    return Promise.resolve(this.holder(address).lender.takeOver(handover));
  }

  override close(): void {
    // There are no connections.
  }

  private holder(address: string): BudgetHolder {
    const holder = this.holders.get(address);
    if (holder === undefined) {
      throw new StepError(
        'reach holder',
        address,
        Fate.NotDone,
        'holder stopped',
      );
    }
    return holder;
  }
}

/** One host's access to the log, which fails while that host is isolated. */
class HostLog extends PartitionedLog {
  constructor(
    private readonly log: MemoryPartitionedLog,
    private readonly isIsolated: () => boolean,
    private readonly traffic: FleetTraffic,
  ) {
    super();
  }

  override append(partition: Partition, records: readonly Uint8Array[]) {
    return this.callLog(async () => {
      const offset = await this.log.append(partition, records);
      this.traffic.records += records.length;
      return offset;
    });
  }

  override read(partition: Partition, from: number, waitMilliseconds: number) {
    return this.callLog(() => this.log.read(partition, from, waitMilliseconds));
  }

  override newest(partition: Partition) {
    return this.callLog(() => this.log.newest(partition));
  }

  override putAll(
    partition: Partition,
    entries: readonly KeyedValue[],
    expectedEnd?: number,
  ) {
    return this.callLog(() => this.log.putAll(partition, entries, expectedEnd));
  }

  override keyedRecord(offset: number, record: Uint8Array) {
    return this.log.keyedRecord(offset, record);
  }

  override close(): void {
    // The fleet owns the log.
  }

  private callLog<Value>(call: () => Promise<Value>): Promise<Value> {
    return this.isIsolated()
      ? Promise.reject(
          new StepError('reach log', '', Fate.NotDone, 'host isolated'),
        )
      : call();
  }
}

/** Holders of one budget that share an in-memory log, without sockets. */
export class HolderFleet {
  readonly log = new MemoryPartitionedLog();
  readonly faults: PeerFaults = {
    losesAnswers: false,
    answerDelayMilliseconds: 0,
  };
  readonly traffic: FleetTraffic = {loans: 0, emptyLoans: 0, records: 0};
  /** The link of every host. */
  readonly link = new FakeHostLink();
  readonly events: Record<string, unknown>[] = [];
  /** Hosts that cannot reach the log. */
  readonly isolatedHosts = new Set<string>();
  private readonly clock = new SystemClock();
  private readonly holders = new Map<string, BudgetHolder>();
  private readonly storeHealths: StoreHealth[] = [];
  private starts = 0;
  private version = 1;
  /** Budgets by organisation, in tokens. */
  private readonly budgets = new Map<string, number>();

  constructor(
    prepaid: number,
    private readonly reserve: FleetReserve = {
      pooledPart: POOLED_PART,
      seconds: RESERVE_SECONDS,
    },
  ) {
    this.budgets.set(SCHOOL, prepaid);
  }

  /** Starts a holder on a host of this name. */
  async start(host: string, dataCenter = ''): Promise<BudgetHolder> {
    const {clock} = this;
    const log = new HostLog(
      this.log,
      () => this.isolatedHosts.has(host),
      this.traffic,
    );
    const events = EventLog.create(LogLevel.INFO, {host}, line => {
      this.events.push(JSON.parse(line) as Record<string, unknown>);
    });
    const replica = new BudgetReplica(
      log,
      clock,
      CHECKPOINT_MILLISECONDS,
      events,
    );
    const identity = {
      host,
      peerAddress: host,
      dataCenter,
      region: '',
      newIncarnation: () => `${host}-${this.starts++}`,
    };
    const health = new StoreHealth('budgets', events, {
      lag: new LoopLag(() => clock.monotonicMilliseconds()),
      link: this.link,
    });
    this.storeHealths.push(health);
    const holder = new BudgetHolder(
      new BudgetJournal(identity, replica, log, events),
      replica,
      new DirectPeers(this.holders, this.faults, this.traffic),
      health,
      clock,
      events,
      new DemandSizing(this.reserve),
      this.reserve.pooledPart,
    );
    this.holders.set(host, holder);
    holder.configure(this.configuration());
    void holder.run();
    await waitUntil(() => holder.isReady);
    return holder;
  }

  /** Applies a configuration with another budget at every holder. */
  changeBudget(prepaid: number): void {
    this.addBudget(SCHOOL, prepaid);
  }

  /** Applies a configuration with a budget of one more organisation at every holder. */
  addBudget(organisation: string, prepaid: number): void {
    this.budgets.set(organisation, prepaid);
    this.version++;
    for (const holder of this.holders.values()) {
      holder.configure(this.configuration());
    }
  }

  /**
   * Waits until the store has answered every holder that was started.
   *
   * @param since Earliest time of the answers by the monotonic clock, milliseconds.
   */
  async waitForAnswers(since: number): Promise<void> {
    await waitUntil(() => {
      const now = this.clock.monotonicMilliseconds();
      return this.storeHealths.every(
        health => now - health.answerAgeMilliseconds(now) >= since,
      );
    });
  }

  /** Aborts a holder, like the kill of its process. */
  kill(host: string): void {
    this.holders.get(host)?.abort();
    this.holders.delete(host);
  }

  /** Aborts all holders. */
  close(): void {
    for (const holder of this.holders.values()) {
      holder.abort();
    }
  }

  private configuration(): FleetConfiguration {
    return {
      version: this.version,
      routes: [],
      services: new Map(),
      limits: {
        headerBytes: 1,
        bodyBytes: 1,
        headerMilliseconds: 1,
        idleMilliseconds: 1,
      },
      organisations: [...this.budgets].map(([name, prepaid]) => ({
        name,
        priority: undefined,
        allowedRegions: undefined,
        prepaid,
      })),
      organisationOfKey: new Map(),
      ignoredFields: [],
    };
  }
}

/** Waits for a condition, within the time limit of the test. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

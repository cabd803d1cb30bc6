import {PartitionEndError, type Partition} from '@wisteriadeal/platform';
import {vi} from 'vitest';

import type {BudgetHolder} from '../budget-holder.js';
import {CHECKPOINT_PARTITION} from '../budget-topics.js';
import {HolderFleet} from './holder-fleet.js';

const RESERVE = {pooledPart: 1, seconds: 12};
const DATA_CENTERS = 3;
const START_MILLISECONDS = 2_000;
export const SECONDS = 40;
const TICK_MILLISECONDS = 10;
const ANSWER_MILLISECONDS = 300;
const STORE_DELAY_MILLISECONDS = 10;
const MEAN_BOUND = 5_000;
/** Part of an organisation's budget that its callers ask for. */
const USED_PARTS = [0.6, 0.8, 1, 1.2];

/** What happened in a replay. */
export interface RisingLoadResult {
  readonly served: number;
  /** Requests that were refused while the organisation had tokens for ten of them. */
  readonly refusedWithBudget: number;
  /** Grants under load that were beyond a ceiling. */
  readonly withheldGrants: number;
  /** Calls about checkpoints: writes that took effect, failed writes, and reads. */
  readonly checkpointWrites: number;
  readonly checkpointConflicts: number;
  readonly checkpointReads: number;
  /** Tokens spent beyond a budget. */
  readonly overspent: number;
}

/** Replays load that rises to the end of the budgets, with real holders. */
export async function replayRisingLoad(
  hosts: number,
  organisations: number,
): Promise<RisingLoadResult> {
  vi.useFakeTimers();
  const replay = new RisingLoad(hosts, organisations);
  try {
    return await replay.run();
  } finally {
    replay.close();
    vi.useRealTimers();
  }
}

class RisingLoad {
  private readonly fleet = new HolderFleet(0, RESERVE);
  private readonly holders: BudgetHolder[] = [];
  private readonly budgets = new Map<string, number>();
  private readonly spent = new Map<string, number>();
  private state = 7;
  private served = 0;
  private refusedWithBudget = 0;
  private checkpointWrites = 0;
  private checkpointConflicts = 0;
  private checkpointReads = 0;

  constructor(
    private readonly hosts: number,
    organisations: number,
  ) {
    for (let index = 0; index < organisations; index++) {
      // The rate rises from none to one request per second of each host.
      const asked = 0.5 * hosts * SECONDS * MEAN_BOUND;
      const usedPart = USED_PARTS[index % USED_PARTS.length] ?? 1;
      const budget = Math.round(asked / usedPart);
      this.budgets.set(`organisation-${index}`, budget);
    }
    this.countCalls();
  }

  close(): void {
    this.fleet.close();
  }

  async run(): Promise<RisingLoadResult> {
    this.fleet.log.faults.answerDelayMilliseconds = STORE_DELAY_MILLISECONDS;
    for (const [name, budget] of this.budgets) {
      this.fleet.addBudget(name, budget);
    }
    const starting = Array.from({length: this.hosts}, (_unused, host) =>
      this.fleet.start(`host-${host}`, `zone-${host % DATA_CENTERS}`),
    );
    await vi.advanceTimersByTimeAsync(START_MILLISECONDS);
    this.holders.push(...(await Promise.all(starting)));
    const withheldAtStart = this.withheldGrants;
    const ticks = (1_000 * SECONDS) / TICK_MILLISECONDS;
    for (let tick = 0; tick < ticks; tick++) {
      for (const name of this.budgets.keys()) {
        this.arrive(name, tick / ticks);
      }
      await vi.advanceTimersByTimeAsync(TICK_MILLISECONDS);
    }
    await vi.advanceTimersByTimeAsync(5_000);
    return {
      served: this.served,
      refusedWithBudget: this.refusedWithBudget,
      withheldGrants: this.withheldGrants - withheldAtStart,
      checkpointWrites: this.checkpointWrites,
      checkpointConflicts: this.checkpointConflicts,
      checkpointReads: this.checkpointReads,
      overspent: [...this.budgets].reduce(
        (sum, [name, budget]) =>
          sum + Math.max(0, (this.spent.get(name) ?? 0) - budget),
        0,
      ),
    };
  }

  private get withheldGrants(): number {
    return this.fleet.events.filter(
      ({event}) => event === 'grant beyond its ceiling',
    ).length;
  }

  private countCalls(): void {
    const {log} = this.fleet;
    const put = log.put.bind(log);
    vi.spyOn(log, 'put').mockImplementation(async (...call) => {
      try {
        const offset = await put(...call);
        this.checkpointWrites++;
        return offset;
      } catch (error) {
        this.checkpointConflicts += Number(error instanceof PartitionEndError);
        throw error;
      }
    });
    const isOfCheckpoints = ({topic}: Partition) =>
      topic === CHECKPOINT_PARTITION.topic;
    const newest = log.newest.bind(log);
    vi.spyOn(log, 'newest').mockImplementation(partition => {
      this.checkpointReads += Number(isOfCheckpoints(partition));
      return newest(partition);
    });
    const read = log.read.bind(log);
    vi.spyOn(log, 'read').mockImplementation((partition, from, wait) => {
      this.checkpointReads += Number(isOfCheckpoints(partition));
      return read(partition, from, wait);
    });
  }

  private arrive(name: string, part: number): void {
    const perTick = (this.hosts * part * TICK_MILLISECONDS) / 1_000;
    if (this.nextFraction() < perTick) {
      void this.serve(name);
    }
  }

  private async serve(name: string): Promise<void> {
    const index = Math.floor(this.nextFraction() * this.hosts);
    const bound = Math.round(MEAN_BOUND * (0.5 + this.nextFraction()));
    const reservations = this.holders[index]?.reservations;
    const reserved = await reservations?.reserve(name, {
      bound,
      mayPromise: false,
    });
    const left = (this.budgets.get(name) ?? 0) - (this.spent.get(name) ?? 0);
    if (reserved === undefined || 'refusal' in reserved) {
      this.refusedWithBudget += Number(left >= 10 * MEAN_BOUND);
      return;
    }
    this.served++;
    this.spent.set(name, (this.spent.get(name) ?? 0) + bound);
    await new Promise(resolve => setTimeout(resolve, ANSWER_MILLISECONDS));
    reservations?.settle(reserved.reservation, bound);
  }

  /** A repeatable source of numbers from 0 to below 1 (Marsaglia's xorshift). */
  private nextFraction(): number {
    this.state ^= this.state << 13;
    this.state ^= this.state >>> 17;
    this.state ^= this.state << 5;
    return (this.state >>> 0) / 2 ** 32;
  }
}

import {Fate, StepError} from '@wisteriadeal/platform';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';

import type {BudgetHolder} from '../budget-holder.js';
import type {ReserveResult} from '../organisation-budget.js';
import {BUDGET_PARTITION} from '../budget-topics.js';
import {HolderFleet, SCHOOL} from './holder-fleet.js';

const PREPAID_TOKENS = 100_000;
const LARGE_REQUEST_TOKENS = 20_000;
/** Longer than the maximum age of a checkpoint in the fleet. */
const PARTITION_MILLISECONDS = 61_000;

let fleet: HolderFleet;

beforeEach(() => {
  vi.useFakeTimers();
  fleet = new HolderFleet(PREPAID_TOKENS);
});

afterEach(() => {
  fleet.close();
  vi.useRealTimers();
});

async function start(host: string): Promise<BudgetHolder> {
  const starting = fleet.start(host);
  await vi.advanceTimersByTimeAsync(1_000);
  return starting;
}

async function reserveLarge(holder: BudgetHolder): Promise<ReserveResult> {
  const reserved = holder.reservations.reserve(SCHOOL, {
    bound: LARGE_REQUEST_TOKENS,
    mayPromise: false,
  });
  await vi.advanceTimersByTimeAsync(2_000);
  return reserved;
}

/** Ends a holder as a graceful stop does. */
async function stop(holder: BudgetHolder): Promise<void> {
  await holder.close();
  await holder.checkpointEnd();
}

/** Stores the next append and isolates the host before its answer. */
function isolateDuringNextAppend(host: string): void {
  const append = fleet.log.append.bind(fleet.log);
  vi.spyOn(fleet.log, 'append').mockImplementationOnce(
    async (partition, records) => {
      await append(partition, records);
      fleet.isolatedHosts.add(host);
      throw new StepError('append', 'log', Fate.Unknown, 'answer lost');
    },
  );
}

/** Advances the fake clock a little, so that the log answers a call. */
async function answered<Value>(call: Promise<Value>): Promise<Value> {
  await vi.advanceTimersByTimeAsync(1);
  return call;
}

it('requests tokens again after the log dropped the verdict on its last request', async () => {
  // Guards against a host that refuses an organisation's requests until it is restarted.
  const holder = await start('one');
  await start('two');
  isolateDuringNextAppend('one');
  await reserveLarge(holder);
  await vi.advanceTimersByTimeAsync(PARTITION_MILLISECONDS);
  const {end} = await answered(fleet.log.read(BUDGET_PARTITION, 0, 0));
  fleet.log.dropBefore(BUDGET_PARTITION, end);
  // Without lenders, tokens can only come from the log.
  fleet.kill('two');
  fleet.isolatedHosts.clear();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(fleet.events).toContainEqual(
    expect.objectContaining({event: 'budget checkpoint read', host: 'one'}),
  );
  expect(await reserveLarge(holder)).toHaveProperty('reservation');
});

it('opens after all hosts were stopped for longer than the log keeps records', async () => {
  // Guards against a fleet that is never ready again, because the store has dropped the
  // records since the last checkpoint.
  const one = await start('one');
  const two = await start('two');
  await reserveLarge(one);
  const closing = Promise.all([stop(one), stop(two)]);
  await vi.advanceTimersByTimeAsync(2_000);
  await closing;
  const {end} = await answered(fleet.log.read(BUDGET_PARTITION, 0, 0));
  fleet.log.dropBefore(BUDGET_PARTITION, end);
  let successor: BudgetHolder | undefined;
  void fleet.start('one').then(holder => {
    successor = holder;
  });
  await vi.advanceTimersByTimeAsync(2_000);
  expect(successor?.isReady).toBe(true);
  expect(successor?.describe(SCHOOL)?.unallocated).toBeLessThanOrEqual(
    PREPAID_TOKENS - LARGE_REQUEST_TOKENS,
  );
});

import {afterEach, beforeEach, expect, it, vi} from 'vitest';

import {BUDGET_PARTITION} from '../budget-topics.js';
import {HolderFleet, SCHOOL} from './holder-fleet.js';

const OPENING_MILLISECONDS = 62_000;
const SUCCESSOR_LIMIT_MILLISECONDS = 120_000;

let fleet: HolderFleet;

beforeEach(() => {
  vi.useFakeTimers();
  fleet = new HolderFleet(100_000);
});

afterEach(() => {
  fleet.close();
  vi.useRealTimers();
});

/** Lets time pass, and returns the result of work that has ended by then. */
async function resultAfter<Value>(
  milliseconds: number,
  work: Promise<Value>,
): Promise<Value | undefined> {
  let result: Value | undefined;
  void work.then(value => {
    result = value;
  });
  await vi.advanceTimersByTimeAsync(milliseconds);
  return result;
}

it('opens after all hosts were dead for longer than the log keeps records', async () => {
  // Guards against a fleet that never becomes ready again after a power failure.
  const first = await resultAfter(OPENING_MILLISECONDS, fleet.start('one'));
  void first?.reservations.reserve(SCHOOL, {bound: 20_000, mayPromise: false});
  await vi.advanceTimersByTimeAsync(2_000);
  fleet.kill('one');
  const page = await resultAfter(10, fleet.log.read(BUDGET_PARTITION, 0, 0));
  fleet.log.dropBefore(BUDGET_PARTITION, page?.end ?? 0);
  const successor = await resultAfter(
    SUCCESSOR_LIMIT_MILLISECONDS,
    fleet.start('one'),
  );
  expect(successor?.isReady).toBe(true);
});

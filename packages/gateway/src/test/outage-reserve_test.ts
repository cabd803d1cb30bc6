import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import type {BudgetHolder} from '../budget-holder.js';
import {HolderFleet, SCHOOL} from './holder-fleet.js';

const PREPAID_TOKENS = 1_000_000;
const REQUEST_TOKENS = 2_000;
/** By then, a host without callers needs less than it held. */
const OUTAGE_MILLISECONDS = 20_000;

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
  await vi.advanceTimersByTimeAsync(2_000);
  return starting;
}

/** Runs one request that uses nothing; returns whether it was accepted. */
async function serve(holder: BudgetHolder, bound: number): Promise<boolean> {
  const reserving = holder.reservations.reserve(SCHOOL, {
    bound,
    mayPromise: false,
  });
  await vi.advanceTimersByTimeAsync(100);
  const result = await reserving;
  if ('reservation' in result) {
    holder.reservations.settle(result.reservation, 0);
  }
  return 'reservation' in result;
}

function available(holder: BudgetHolder): number {
  return holder.describe(SCHOOL)?.available ?? 0;
}

describe('BudgetHolder in an outage of the store', () => {
  let holder: BudgetHolder;
  let availableBefore: number;

  beforeEach(async () => {
    holder = await start('one');
    for (let request = 0; request < 100; request++) {
      expect(await serve(holder, REQUEST_TOKENS)).toBe(true);
    }
    fleet.log.faults.isUnavailable = true;
    await vi.advanceTimersByTimeAsync(1_000);
    availableBefore = available(holder);
    await vi.advanceTimersByTimeAsync(OUTAGE_MILLISECONDS);
  });

  it('serves callers from all tokens that it held', async () => {
    // Guards against tokens that wait in a return record that cannot be written, while
    // callers are refused.
    expect(available(holder)).toBe(availableBefore);
    expect(await serve(holder, availableBefore)).toBe(true);
  });

  it('returns its surplus as soon as the store is back', async () => {
    // Guards against a surplus that other holders need after an outage.
    fleet.log.faults.isUnavailable = false;
    await vi.advanceTimersByTimeAsync(250);
    expect(available(holder)).toBeLessThan(availableBefore);
  });
});

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import type {BudgetHolder} from '../budget-holder.js';
import {HolderFleet, SCHOOL} from './holder-fleet.js';

const PREPAID_TOKENS = 1_000_000;
const REQUEST_TOKENS = 2_000;
/** More than an idle host holds. */
const LARGE_REQUEST_TOKENS = 40_000;

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

describe('a borrower whose lender has not recorded the loan', () => {
  it('loses no tokens when it returns its surplus first', async () => {
    // Guards against a return of borrowed tokens that the log ignores, because they are
    // not yet part of the borrower's grant.
    const lender = await start('one');
    const borrower = await start('two');
    for (let request = 0; request < 100; request++) {
      expect(await serve(lender, REQUEST_TOKENS)).toBe(true);
    }
    fleet.log.faults.isUnavailable = true;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(await serve(borrower, LARGE_REQUEST_TOKENS)).toBe(true);
    fleet.isolatedHosts.add('one');
    fleet.log.faults.isUnavailable = false;
    await vi.advanceTimersByTimeAsync(2_000);
    fleet.isolatedHosts.clear();
    await vi.advanceTimersByTimeAsync(2_000);
    const {unallocated = 0} = borrower.describe(SCHOOL) ?? {};
    expect(unallocated + available(lender) + available(borrower)).toBe(
      PREPAID_TOKENS,
    );
  });
});

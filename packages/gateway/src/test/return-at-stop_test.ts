import {Fate, StepError} from '@wisteriadeal/platform';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import type {BudgetHolder} from '../budget-holder.js';
import {HolderFleet, SCHOOL} from './holder-fleet.js';

const PREPAID_TOKENS = 100_000;

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

async function stop(holder: BudgetHolder): Promise<void> {
  const closing = holder.close();
  await vi.advanceTimersByTimeAsync(5_000);
  await closing;
}

/** Tokens that a holder has or the log can still grant. */
function spendable(holder: BudgetHolder): number {
  const {available = 0, unallocated = 0} = holder.describe(SCHOOL) ?? {};
  return available + unallocated;
}

/** Loses the next append before the log has it. */
function loseNextAppend(onLost: () => void = () => undefined): void {
  vi.spyOn(fleet.log, 'append').mockImplementationOnce(() => {
    onLost();
    return Promise.reject(
      new StepError('append', 'log', Fate.Unknown, 'connection reset'),
    );
  });
}

describe('BudgetHolder that stops', () => {
  it('returns its tokens although the first append of the return is lost', async () => {
    // Guards against a stopped host whose tokens stay charged although the log answers.
    const stopping = await start('one');
    expect(stopping.describe(SCHOOL)?.available).toBeGreaterThan(0);
    loseNextAppend();
    await stop(stopping);
    expect(spendable(await start('two'))).toBe(PREPAID_TOKENS);
  });

  it('returns the tokens of a grant that it was requesting', async () => {
    // Guards against a grant that the log makes to a process while it stops.
    const starting = fleet.start('one');
    await vi.advanceTimersByTimeAsync(100);
    const stopping = await starting;
    let closing: Promise<void> | undefined;
    loseNextAppend(() => {
      closing = stopping.close();
    });
    await vi.advanceTimersByTimeAsync(5_000);
    await closing;
    expect(closing).toBeDefined();
    expect(spendable(await start('two'))).toBe(PREPAID_TOKENS);
  });

  it('returns its tokens to a store that is back if no holder accepts them', async () => {
    // Guards against tokens that a stopping host forgets because another host refused
    // them.
    const stopping = await start('one');
    const refusing = await start('two');
    refusing.abort();
    fleet.log.faults.isUnavailable = true;
    await vi.advanceTimersByTimeAsync(2_000);
    const handOver = vi.spyOn(refusing.lender, 'takeOver');
    fleet.log.faults.isUnavailable = false;
    await stop(stopping);
    expect(handOver).toHaveReturnedWith(false);
    const heldByRefusing = refusing.describe(SCHOOL)?.available ?? 0;
    expect(spendable(await start('three'))).toBe(
      PREPAID_TOKENS - heldByRefusing,
    );
  });
});

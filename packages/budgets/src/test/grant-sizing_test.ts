import {describe, expect, it} from 'vitest';

import type {BudgetView} from '../budget-view.js';
import {GrantAccount} from '../grant-account.js';
import {DemandSizing} from '../grant-sizing.js';
import {loanFor} from '../loans.js';

const PREPAID = 240_000;
const HOLDERS = 9;

function view(rest: number, unallocated = rest): BudgetView {
  return {
    prepaid: PREPAID,
    rest,
    unallocated,
    spent: PREPAID - rest,
    holders: HOLDERS,
  };
}

/** An account that has seen requests of these sizes, with tokens in hand. */
function accountOf(available: number, bounds: readonly number[]): GrantAccount {
  const account = new GrantAccount(0);
  for (const bound of bounds) {
    account.credit(bound);
    account.reserve(bound);
    account.settle(bound, bound, 0);
  }
  account.credit(available);
  return account;
}

/** Nine usual requests and one that is tenfold, as prompts come. */
const MIXED_SIZES = [
  2_000, 1_500, 39_000, 1_800, 2_200, 1_700, 2_000, 1_900, 2_100, 1_600, 1_800,
];

describe('DemandSizing', () => {
  it('keeps tokens of a small budget at hosts although one request was large', () => {
    // The caller sees: requests of a small customer are refused as soon as the store
    // is away. One prompt of 39,000 tokens was seen; measured by it, 240,000 tokens
    // seem nearly gone for nine hosts, and each gives back all that it holds.
    const change = new DemandSizing().change(
      accountOf(8_000, MIXED_SIZES),
      view(200_000),
      PREPAID,
      60_000,
    );
    expect(change.giveBack).toBe(0);
  });

  it('keeps nothing in hand when the rest is less than a request a host', () => {
    const change = new DemandSizing().change(
      accountOf(1_500, MIXED_SIZES),
      view(9_000),
      PREPAID,
      60_000,
    );
    expect(change).toEqual({wish: 0, least: 0, giveBack: 1_500});
  });

  it('asks for its even share before it knows any use', () => {
    const change = new DemandSizing().change(
      new GrantAccount(0),
      view(PREPAID),
      PREPAID,
      0,
    );
    expect(change.wish).toBe(Math.floor((0.4 * PREPAID) / HOLDERS));
  });

  it('gives back what it holds far beyond its share and use', () => {
    const change = new DemandSizing().change(
      accountOf(60_000, []),
      view(PREPAID),
      PREPAID,
      60_000,
    );
    expect(change.giveBack).toBeGreaterThan(40_000);
  });
});

describe('loanFor', () => {
  it('lends half of what it has', () => {
    expect(loanFor(accountOf(10_000, []), 1_000, 9_000)).toBe(5_000);
  });

  it('lends all where it can not cover the request that waits', () => {
    // The caller sees: refused, while nine hosts together hold enough. Each has less
    // than one request needs and keeps it; gathered, the pieces serve one.
    expect(loanFor(accountOf(900, []), 1_000, 3_000)).toBe(900);
  });

  it('lends nothing where nothing is asked for', () => {
    expect(loanFor(accountOf(900, []), 0, 0)).toBe(0);
  });
});

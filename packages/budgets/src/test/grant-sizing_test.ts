import {describe, expect, it} from 'vitest';

import type {BudgetView} from '../budget-view.js';
import {GrantAccount} from '../grant-account.js';
import {DemandSizing} from '../grant-sizing.js';
import {loanAmount} from '../loans.js';

const PREPAID = 240_000;
const HOLDERS = 9;
const RESERVE = {pooledPart: 0.4, seconds: 16};

function view(remaining: number, unallocated = remaining): BudgetView {
  return {
    prepaid: PREPAID,
    remaining,
    unallocated,
    spent: PREPAID - remaining,
    holders: HOLDERS,
    users: HOLDERS,
  };
}

/** Creates an account with these requests in its history and available tokens. */
function accountOf(available: number, bounds: readonly number[]): GrantAccount {
  const account = new GrantAccount();
  for (const bound of bounds) {
    account.credit(bound);
    account.reserve(bound, 0);
    account.settle(bound, bound);
  }
  account.credit(available);
  return account;
}

/** Bounds of ten usual requests and of one about twentyfold, in tokens. */
const MIXED_SIZES = [
  2_000, 1_500, 39_000, 1_800, 2_200, 1_700, 2_000, 1_900, 2_100, 1_600, 1_800,
];

describe('DemandSizing', () => {
  it('keeps tokens of a small budget at hosts after one large request', () => {
    // Guards against refusals to a small organisation as soon as the store is
    // unavailable. Measured by one prompt of 39,000 tokens, a budget of 240,000 tokens
    // would seem near exhaustion for nine hosts, and each would return all its tokens.
    const change = new DemandSizing(RESERVE).planChange(
      accountOf(8_000, MIXED_SIZES),
      view(200_000),
      PREPAID,
      1_000,
    );
    expect(change.returnTokens).toBe(0);
  });

  it('keeps one request of average size when callers have been idle', () => {
    // A caller that returns after a minute finds the tokens of one request. Tokens
    // beyond that would be lost if the host failed, and are returned for other hosts.
    const account = accountOf(8_000, MIXED_SIZES);
    const {returnTokens} = new DemandSizing(RESERVE).planChange(
      account,
      view(200_000),
      PREPAID,
      120_000,
    );
    expect(8_000 - returnTokens).toBeGreaterThanOrEqual(account.meanBound);
    expect(returnTokens).toBeGreaterThan(0);
  });

  it('holds one standard deviation beyond the mean usage where idle hosts hold nothing', () => {
    // Guards against refusals at hosts that get few requests of an organisation, whose
    // sizes vary twentyfold.
    const account = accountOf(0, MIXED_SIZES);
    const {seconds} = RESERVE;
    const {requestTokens} = new DemandSizing(RESERVE).planChange(
      account,
      {...view(200_000), holders: 195},
      PREPAID,
      1_000,
    );
    const mean = account.usagePerSecond(1_000) * seconds;
    const deviation = account.usageDeviation(1_000, seconds);
    expect(deviation).toBeGreaterThan(0.25 * mean);
    expect(requestTokens).toBe(Math.floor(mean + deviation));
  });

  it('keeps little of a budget whose callers use other hosts', () => {
    // Guards against tokens lost with an idle host. If one of nine hosts fails early
    // while it holds its even share, a twentieth of each budget is lost with it.
    const change = new DemandSizing(RESERVE).planChange(
      accountOf(10_000, []),
      view(PREPAID - 5_000),
      PREPAID,
      60_000,
    );
    expect(10_000 - change.returnTokens).toBeLessThan(0.01 * PREPAID);
  });

  it('keeps nothing when the remaining budget is below one request per host', () => {
    const change = new DemandSizing(RESERVE).planChange(
      accountOf(1_500, MIXED_SIZES),
      view(9_000),
      PREPAID,
      60_000,
    );
    expect(change).toEqual({
      requestTokens: 0,
      minimumTokens: 0,
      returnTokens: 1_500,
    });
  });

  it('requests a part of its even share before any usage', () => {
    const change = new DemandSizing(RESERVE).planChange(
      new GrantAccount(),
      view(PREPAID),
      PREPAID,
      0,
    );
    expect(change.requestTokens).toBe(
      Math.floor(0.15 * Math.floor((0.4 * PREPAID) / HOLDERS)),
    );
  });

  it.each([
    {part: 0.9, dataCenters: 1, least: 80_000, most: 120_000},
    {part: 0.9, dataCenters: 3, least: 190_000, most: 194_400},
    {part: 0.3, dataCenters: 3, least: 1, most: 1_350},
  ])(
    'holds tokens for callers of other hosts early in the day: %j',
    ({part, dataCenters, least, most}) => {
      // Guards against refusals to callers that change hosts in an outage, and against
      // tokens lost with hosts that fail late in the day.
      const prepaid = 3_000_000;
      const account = new GrantAccount();
      const [change] = [part + 0.1, part]
        .map((left, step) =>
          new DemandSizing({pooledPart: 1, seconds: 12}).planChange(
            account,
            {
              ...view(left * prepaid),
              prepaid,
              spent: step * 300_000,
              dataCenters,
            },
            prepaid,
            step * 3_000,
          ),
        )
        .slice(1);
      expect(change?.requestTokens).toBeGreaterThanOrEqual(least);
      expect(change?.requestTokens).toBeLessThanOrEqual(most);
    },
  );

  it('returns tokens far beyond its share and usage', () => {
    const change = new DemandSizing(RESERVE).planChange(
      accountOf(60_000, []),
      view(PREPAID),
      PREPAID,
      60_000,
    );
    expect(change.returnTokens).toBeGreaterThan(40_000);
  });
});

describe('loanAmount', () => {
  it('lends half of the available tokens', () => {
    expect(loanAmount(accountOf(10_000, []), 1_000, 9_000)).toBe(5_000);
  });

  it('lends everything when it cannot cover the waiting request', () => {
    // Guards against a refusal while nine hosts together hold enough tokens, but each
    // one keeps less than one request needs. Together their tokens serve one request.
    expect(loanAmount(accountOf(900, []), 1_000, 3_000)).toBe(900);
  });

  it('lends nothing when nothing is requested', () => {
    expect(loanAmount(accountOf(900, []), 0, 0)).toBe(0);
  });
});

import {BudgetPreference} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {DemandGrantPolicy, type GrantPolicyInput} from '../grant-policy.js';
import {compareGrantPolicies, GrantPolicyName} from '../policy-comparison.js';

const INPUT: GrantPolicyInput = {
  spendableTokens: 0,
  largestSpendableTokens: 0,
  requestedTokens: 0,
  creditedTokens: 100_000,
  unallocatedTokens: 100_000,
  remainingTokens: 100_000,
  demandTokensPerSecond: 0,
  totalDemandTokensPerSecond: 0,
  largestBoundTokens: 100,
  waitingBoundTokens: 0,
  isLargestHolder: false,
  holders: 4,
  partitionSeconds: 3_600,
  preference: BudgetPreference.AVOID_REFUSALS,
  hasWitness: true,
};

describe('DemandGrantPolicy', () => {
  const policy = new DemandGrantPolicy();

  it('requests more tokens for higher demand if the budget is short', () => {
    const busy = policy.decide({
      ...INPUT,
      demandTokensPerSecond: 90,
      totalDemandTokensPerSecond: 100,
    });
    const quiet = policy.decide({
      ...INPUT,
      demandTokensPerSecond: 10,
      totalDemandTokensPerSecond: 100,
    });
    expect(busy.grantRequestTokens).toBeGreaterThan(
      5 * quiet.grantRequestTokens,
    );
    expect(
      busy.grantRequestTokens + quiet.grantRequestTokens,
    ).toBeLessThanOrEqual(100_000);
  });

  it('requests only the idle reserve while no witness is available', () => {
    // Guards against a budget that is stranded on one host.
    const alone = {...INPUT, hasWitness: false, holders: 1};
    expect(policy.decide(alone).grantRequestTokens).toBe(4 * 100);
  });

  it('returns no tokens while no witness is available', () => {
    // Guards against refusals after a short time without contact to a peer.
    const alone = {...INPUT, hasWitness: false, holders: 1};
    const held = {spendableTokens: 95_000, largestSpendableTokens: 95_000};
    const unallocatedTokens = 5_000;
    expect(
      policy.decide({...alone, ...held, unallocatedTokens}).returnTokens,
    ).toBe(0);
  });

  it('returns the tokens of several grants so that a waiting request gets one grant', () => {
    const severalGrants = {
      ...INPUT,
      waitingBoundTokens: 100,
      unallocatedTokens: 30,
      spendableTokens: 80,
      largestSpendableTokens: 50,
    };
    expect(policy.decide(severalGrants).returnTokens).toBe(80);
    const afterReturn = {
      ...severalGrants,
      unallocatedTokens: 110,
      spendableTokens: 0,
    };
    expect(policy.decide(afterReturn)).toMatchObject({minimumTokens: 100});
  });

  it('consolidates the last tokens at the holder with the most tokens', () => {
    const end = {
      ...INPUT,
      remainingTokens: 500,
      unallocatedTokens: 100,
      spendableTokens: 200,
      largestSpendableTokens: 200,
    };
    expect(policy.decide(end).returnTokens).toBe(200);
    expect(
      policy.decide({...end, isLargestHolder: true}).grantRequestTokens,
    ).toBe(100);
  });
});

describe('compareGrantPolicies', () => {
  it('causes at least five times fewer false refusals at a budget of twice the demand', () => {
    const points = compareGrantPolicies(1, [2]);
    const refusals = (policy: GrantPolicyName) =>
      points
        .filter(point => point.policy === policy)
        .reduce((sum, point) => sum + point.falseRefusals, 0);
    expect(refusals(GrantPolicyName.EqualSplit)).toBeGreaterThan(0);
    expect(5 * refusals(GrantPolicyName.Demand)).toBeLessThanOrEqual(
      refusals(GrantPolicyName.EqualSplit),
    );
    expect(points.every(point => point.overspentTokens === 0)).toBe(true);
  });
});

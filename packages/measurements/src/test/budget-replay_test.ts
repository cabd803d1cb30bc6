import {ChargePoint, DemandSizing} from '@wisteriadeal/budgets';
import {describe, expect, it} from 'vitest';

import {REPLAY_SCENARIOS} from '../budget-replay-scenarios.js';
import {BudgetReplay, type ReplayResult} from '../budget-replay.js';

const SEEDS = [1, 2, 3];

/** Sums the results of all seeds under one charge point. */
function replay(scenarioName: string, chargePoint: ChargePoint): ReplayResult {
  const scenario = REPLAY_SCENARIOS.find(({name}) => name === scenarioName);
  if (scenario === undefined) {
    throw new RangeError(`no scenario ${scenarioName}`);
  }
  const policy = {
    name: chargePoint,
    sizing: new DemandSizing({pooledPart: 1, seconds: 12}),
    pooledPart: 1,
    chargePoint,
  };
  const runs = SEEDS.map(seed =>
    new BudgetReplay(scenario, policy, seed).run(),
  );
  return runs.reduce((sum, run) => ({
    affordableRequests: sum.affordableRequests + run.affordableRequests,
    refusedAffordableRequests:
      sum.refusedAffordableRequests + run.refusedAffordableRequests,
    overspentTokens: sum.overspentTokens + run.overspentTokens,
    strandedPart: sum.strandedPart + run.strandedPart,
    records: sum.records + run.records,
  }));
}

describe('charging tokens at delivery', () => {
  it('strands fewer tokens when all hosts fail, and refuses fewer requests afterwards', () => {
    // Guards against refusals of requests that the budget still covers, after all hosts
    // lose power at once. They occur if tokens are charged before dispatch, because the
    // tokens of requests that delivered nothing then count as spent.
    const before = replay('all-die', ChargePoint.Dispatch);
    const after = replay('all-die', ChargePoint.Delivery);
    expect(after.strandedPart).toBeLessThan(before.strandedPart);
    expect(after.refusedAffordableRequests).toBeLessThan(
      before.refusedAffordableRequests,
    );
  });

  it.each(REPLAY_SCENARIOS.map(({name}) => name))(
    'never overspends a budget: %s',
    name => {
      expect(replay(name, ChargePoint.Delivery).overspentTokens).toBe(0);
    },
  );
});

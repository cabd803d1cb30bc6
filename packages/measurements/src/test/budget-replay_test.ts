import {ChargePoint, DemandSizing} from '@wisteriadeal/budgets';
import {describe, expect, it} from 'vitest';

import {REPLAY_SCENARIOS} from '../budget-replay-scenarios.js';
import {BudgetReplay, type ReplayResult} from '../budget-replay.js';

const SEEDS = [1, 2, 3];

/** The days of all seeds under one policy, added up. */
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
    owed: sum.owed + run.owed,
    refusedOwed: sum.refusedOwed + run.refusedOwed,
    overspentTokens: sum.overspentTokens + run.overspentTokens,
    strandedPart: sum.strandedPart + run.strandedPart,
    records: sum.records + run.records,
  }));
}

describe('taking tokens when the answer is there', () => {
  it('loses less with all hosts, and refuses fewer afterwards', () => {
    // The caller sees: after all hosts lost power at once, its budget still covers its
    // requests. Tokens of requests that had delivered nothing were taken before the
    // dispatch, and counted as spent.
    const before = replay('all-die', ChargePoint.Dispatch);
    const after = replay('all-die', ChargePoint.Delivery);
    expect(after.strandedPart).toBeLessThan(before.strandedPart);
    expect(after.refusedOwed).toBeLessThan(before.refusedOwed);
  });

  it.each(REPLAY_SCENARIOS.map(({name}) => name))(
    'never spends past a budget: %s',
    name => {
      expect(replay(name, ChargePoint.Delivery).overspentTokens).toBe(0);
    },
  );
});

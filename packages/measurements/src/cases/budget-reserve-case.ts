import {
  ChargePoint,
  DemandSizing,
  GrantSizing,
  type BudgetView,
  type GrantAccount,
  type GrantChange,
} from '@wisteriadeal/budgets';

import {
  HOSTS,
  REPLAY_SCENARIOS,
  type ReplayScenario,
} from '../budget-replay-scenarios.js';
import {
  BudgetReplay,
  type ReplayPolicy,
  type ReplayResult,
} from '../budget-replay.js';
import {MeasureCase, type CaseResult} from '../measure-case.js';

/** Every host gets its even part of the whole budget at once, and keeps it. */
class EqualSplitSizing extends GrantSizing {
  override change(
    account: GrantAccount,
    _view: BudgetView | undefined,
    prepaid: number,
  ): GrantChange {
    const isFirst = account.held === 0 && account.spent === 0;
    const wish = isFirst ? Math.floor(prepaid / HOSTS) : 0;
    return {wish, least: wish, giveBack: 0};
  }
}

const CHARGE_POINTS = [ChargePoint.Dispatch, ChargePoint.Delivery];
const POOLED_PARTS = [0.2, 0.4, 0.6, 0.8, 1];
const RESERVE_SECONDS = [6, 12, 20, 30];
/** Each seed gives other requests; a single one differs by some refusals. */
const SEEDS_PER_RUN = 5;

const POLICIES: readonly ReplayPolicy[] = [
  {
    name: 'equal-split',
    sizing: new EqualSplitSizing(),
    pooledPart: 1,
    chargePoint: ChargePoint.Dispatch,
  },
  ...CHARGE_POINTS.flatMap(chargePoint =>
    POOLED_PARTS.flatMap(pooledPart =>
      RESERVE_SECONDS.map(seconds => ({
        name: `at-${chargePoint}-part-${pooledPart}-seconds-${seconds}`,
        sizing: new DemandSizing({pooledPart, seconds}),
        pooledPart,
        chargePoint,
      })),
    ),
  ),
];

/** How large grants should be, on the pure fold and accounts. */
export class BudgetReserveCase extends MeasureCase {
  override readonly name = 'budget-reserve';
  override readonly description =
    'false refusals and stranded tokens by size of grants and moment of charging';

  override run(seed: number): Promise<CaseResult> {
    const rows = POLICIES.map(policy => rowOf(policy, seed));
    return Promise.resolve({
      passed: rows.every(({overspentTokens}) => overspentTokens === 0),
      fields: {rows},
    });
  }
}

function rowOf(policy: ReplayPolicy, seed: number) {
  const results = REPLAY_SCENARIOS.map(scenario => ({
    scenario: scenario.name,
    ...sumOf(scenario, policy, seed),
  }));
  const refused = results.map(({refusedPart}) => refusedPart);
  return {
    policy: policy.name,
    meanRefusedPart: round(sum(refused) / refused.length),
    overspentTokens: sum(results.map(each => each.overspentTokens)),
    results,
  };
}

function sumOf(scenario: ReplayScenario, policy: ReplayPolicy, seed: number) {
  const runs = Array.from({length: SEEDS_PER_RUN}, (_unused, index) =>
    new BudgetReplay(scenario, policy, seed + index).run(),
  );
  const total = (pick: (run: ReplayResult) => number) => sum(runs.map(pick));
  return {
    refusedPart: round(total(run => run.refusedOwed) / total(run => run.owed)),
    strandedPart: round(total(run => run.strandedPart) / runs.length),
    overspentTokens: total(run => run.overspentTokens),
    records: Math.round(total(run => run.records) / runs.length),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

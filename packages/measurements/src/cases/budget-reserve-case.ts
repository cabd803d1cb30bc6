import {
  ChargePoint,
  DemandSizing,
  GrantSizing,
  type BudgetView,
  type GrantAccount,
  type GrantChange,
} from '@wisteriadeal/budgets';

import {
  HOST_COUNT,
  REPLAY_SCENARIOS,
  type ReplayScenario,
} from '../budget-replay-scenarios.js';
import {
  BudgetReplay,
  type ReplayPolicy,
  type ReplayResult,
} from '../budget-replay.js';
import {MeasureCase, type CaseResult} from '../measure-case.js';

/**
 * Grants every host an equal share of the prepaid budget once, and never returns any of
 * it.
 */
class EqualSplitSizing extends GrantSizing {
  override planChange(
    account: GrantAccount,
    _view: BudgetView | undefined,
    prepaid: number,
  ): GrantChange {
    const isFirst = account.held === 0 && account.spent === 0;
    const requested = isFirst ? Math.floor(prepaid / HOST_COUNT) : 0;
    return {
      requestTokens: requested,
      minimumTokens: requested,
      returnTokens: 0,
    };
  }
}

const CHARGE_POINTS = [ChargePoint.Dispatch, ChargePoint.Delivery];
const POOLED_PARTS = [0.2, 0.4, 0.6, 0.8, 1];
const RESERVE_SECONDS = [6, 12, 20, 30];
/**
 * Each seed draws different requests; results of single seeds differ by a few refusals.
 */
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

/**
 * Compares policies of grant size and charge point, by replays on the budget fold and
 * grant accounts alone.
 */
export class BudgetReserveCase extends MeasureCase {
  override readonly name = 'budget-reserve';
  override readonly description =
    'false refusals and stranded tokens, by grant size and by the time of charging';

  override run(seed: number): Promise<CaseResult> {
    const rows = POLICIES.map(policy => summarizePolicy(policy, seed));
    return Promise.resolve({
      passed: rows.every(({overspentTokens}) => overspentTokens === 0),
      fields: {rows},
    });
  }
}

function summarizePolicy(policy: ReplayPolicy, seed: number) {
  const results = REPLAY_SCENARIOS.map(scenario => ({
    scenario: scenario.name,
    ...summarizeScenario(scenario, policy, seed),
  }));
  const refusedParts = results.map(({refusedPart}) => refusedPart);
  return {
    policy: policy.name,
    meanRefusedPart: round(sum(refusedParts) / refusedParts.length),
    overspentTokens: sum(results.map(each => each.overspentTokens)),
    results,
  };
}

function summarizeScenario(
  scenario: ReplayScenario,
  policy: ReplayPolicy,
  seed: number,
) {
  const runs = Array.from({length: SEEDS_PER_RUN}, (_unused, index) =>
    new BudgetReplay(scenario, policy, seed + index).run(),
  );
  const total = (pick: (run: ReplayResult) => number) => sum(runs.map(pick));
  return {
    refusedPart: round(
      total(run => run.refusedAffordableRequests) /
        total(run => run.affordableRequests),
    ),
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

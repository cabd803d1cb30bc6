import {baselinePolicies, chosenPolicies} from '@wisteriadeal/decisions';

import {measureCapacity, simulation} from './decisions-fleet.js';
import type {Simulation} from './decisions-scenario.js';
import {SimulationRun} from './decisions-simulation.js';
import type {DecisionsFigures} from './decisions-tally.js';
import type {WorkShape} from './decisions-workload.js';

/** Figures of one variant, such as one load, of a case. */
export interface DecisionsVariant {
  readonly name: string;
  readonly chosen: DecisionsFigures;
  readonly baseline: DecisionsFigures;
}

/** What one case printed. */
export interface DecisionsReport {
  readonly name: string;
  readonly seed: number;
  /** Work share and requests a second of a fleet that never runs dry. */
  readonly capacityWorkShare: number;
  readonly capacityRequestsPerSecond: number;
  readonly variants: readonly DecisionsVariant[];
  readonly goals: readonly DecisionsGoal[];
}

/** A goal of the chosen policies, and whether it was met. */
export interface DecisionsGoal {
  readonly goal: string;
  readonly limit: number;
  readonly measured: number;
  readonly isMet: boolean;
}

/** Compares what was measured with the goals. */
export type Judge = (
  variants: readonly DecisionsVariant[],
  capacityWorkShare: number,
) => readonly DecisionsGoal[];

/** One named case. */
export interface DecisionsCase {
  readonly name: string;
  readonly description: string;
  readonly run: (seed: number) => DecisionsReport;
}

type Changes = Partial<Simulation> & Pick<Simulation, 'demands'>;

function both(name: string, seed: number, changes: Changes): DecisionsVariant {
  const play = (createPolicies: Simulation['createPolicies']) =>
    new SimulationRun(simulation(seed, {...changes, createPolicies})).run();
  return {
    name,
    chosen: play(chosenPolicies),
    baseline: play(baselinePolicies),
  };
}

interface CasePlan {
  readonly name: string;
  readonly description: string;
  readonly shapes?: readonly WorkShape[];
  readonly variants: (
    rate: number,
  ) => readonly {readonly name: string; readonly changes: Changes}[];
  readonly judge?: Judge;
}

/** Makes a case that plays both sets of policies under the same seed. */
export function decisionsCase(plan: CasePlan): DecisionsCase {
  const name = `decisions-${plan.name}`;
  return {
    name,
    description: plan.description,
    run: seed => {
      const capacity = measureCapacity(seed, plan.shapes);
      const variants = plan
        .variants(capacity.requestsPerSecond)
        .map(variant => both(variant.name, seed, variant.changes));
      return {
        name,
        seed,
        capacityWorkShare: capacity.workShare,
        capacityRequestsPerSecond: capacity.requestsPerSecond,
        variants,
        goals: plan.judge?.(variants, capacity.workShare) ?? [],
      };
    },
  };
}

function rounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** A goal that is met by what is not above its limit. */
export function atMost(
  goal: string,
  limit: number,
  measured: number,
): DecisionsGoal {
  return {goal, limit, measured: rounded(measured), isMet: measured <= limit};
}

/** A goal that is met by what is not below its limit. */
export function atLeast(
  goal: string,
  limit: number,
  measured: number,
): DecisionsGoal {
  return {goal, limit, measured: rounded(measured), isMet: measured >= limit};
}

/** Interactive p99 to first token of one variant over that of another. */
export function p99Ratio(
  over: DecisionsVariant | undefined,
  under: DecisionsVariant | undefined,
): number {
  const base = under?.chosen.interactiveP99Milliseconds ?? 0;
  return (over?.chosen.interactiveP99Milliseconds ?? Infinity) / base;
}

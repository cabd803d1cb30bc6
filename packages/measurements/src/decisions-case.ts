import {baselinePolicies, chosenPolicies} from '@wisteriadeal/decisions';

import {measureCapacity, simulation} from './decisions-fleet.js';
import type {Simulation} from './decisions-scenario.js';
import {SimulationRun} from './decisions-simulation.js';
import type {DecisionsFigures} from './decisions-tally.js';
import type {WorkShape} from './decisions-workload.js';

/** Figures of one variant of a case, such as one load level. */
export interface DecisionsVariant {
  readonly name: string;
  readonly chosen: DecisionsFigures;
  readonly baseline: DecisionsFigures;
}

/** The report of a case. */
export interface DecisionsReport {
  readonly name: string;
  readonly seed: number;
  /** Useful work share and requests per second of a fleet with a permanent backlog. */
  readonly capacityWorkShare: number;
  readonly capacityRequestsPerSecond: number;
  readonly variants: readonly DecisionsVariant[];
  readonly goals: readonly DecisionsGoal[];
}

/** A goal for the chosen policies, with the measured value. */
export interface DecisionsGoal {
  readonly goal: string;
  readonly limit: number;
  readonly measured: number;
  readonly isMet: boolean;
}

/** Compares the measured figures with the goals. */
export type GoalCheck = (
  variants: readonly DecisionsVariant[],
  capacityWorkShare: number,
) => readonly DecisionsGoal[];

/** A named simulation case. */
export interface DecisionsCase {
  readonly name: string;
  readonly description: string;
  readonly run: (seed: number) => DecisionsReport;
}

type Changes = Partial<Simulation> & Pick<Simulation, 'demands'>;

function runVariant(
  name: string,
  seed: number,
  changes: Changes,
): DecisionsVariant {
  const simulate = (createPolicies: Simulation['createPolicies']) =>
    new SimulationRun(simulation(seed, {...changes, createPolicies})).run();
  return {
    name,
    chosen: simulate(chosenPolicies),
    baseline: simulate(baselinePolicies),
  };
}

interface CasePlan {
  readonly name: string;
  readonly description: string;
  readonly shapes?: readonly WorkShape[];
  readonly variants: (
    rate: number,
  ) => readonly {readonly name: string; readonly changes: Changes}[];
  readonly checkGoals?: GoalCheck;
}

/**
 * Creates a case that simulates the chosen and the baseline policies under the same
 * seed.
 */
export function decisionsCase(plan: CasePlan): DecisionsCase {
  const name = `decisions-${plan.name}`;
  return {
    name,
    description: plan.description,
    run: seed => {
      const capacity = measureCapacity(seed, plan.shapes);
      const variants = plan
        .variants(capacity.requestsPerSecond)
        .map(variant => runVariant(variant.name, seed, variant.changes));
      return {
        name,
        seed,
        capacityWorkShare: capacity.workShare,
        capacityRequestsPerSecond: capacity.requestsPerSecond,
        variants,
        goals: plan.checkGoals?.(variants, capacity.workShare) ?? [],
      };
    },
  };
}

function rounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** Returns a goal that is met if the measured value is at most the limit. */
export function atMost(
  goal: string,
  limit: number,
  measured: number,
): DecisionsGoal {
  return {goal, limit, measured: rounded(measured), isMet: measured <= limit};
}

/** Returns a goal that is met if the measured value is at least the limit. */
export function atLeast(
  goal: string,
  limit: number,
  measured: number,
): DecisionsGoal {
  return {goal, limit, measured: rounded(measured), isMet: measured >= limit};
}

/**
 * Returns the ratio of two variants' interactive p99 time to the first token, under the
 * chosen policies.
 */
export function p99Ratio(
  numerator: DecisionsVariant | undefined,
  denominator: DecisionsVariant | undefined,
): number {
  const base = denominator?.chosen.interactiveP99Milliseconds ?? 0;
  return (numerator?.chosen.interactiveP99Milliseconds ?? Infinity) / base;
}

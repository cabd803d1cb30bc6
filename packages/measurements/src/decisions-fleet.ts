import {
  baselinePolicies,
  chosenPolicies,
  type LoadPolicies,
} from '@wisteriadeal/decisions';

import type {EngineModel} from './decisions-engine.js';
import {SIMULATED_DATA_CENTER, type Simulation} from './decisions-scenario.js';
import {SimulationRun} from './decisions-simulation.js';
import {
  CASE_REVIEW,
  TUTOR_REPLY,
  type Demand,
  type WorkShape,
} from './decisions-workload.js';

/** As many engines as the tutor models have today. */
const ENGINES = 8;
const SLOTS = 16;
/** Enough for about twenty scenarios' prompts. */
const CACHE_TOKENS = 16_000;

/** Offered load stands for this long before it is measured. */
export const WARM_UP_MILLISECONDS = 15_000;
export const MEASURED_MILLISECONDS = 240_000;

/** About ten organisations, a few of them large. */
const WEIGHTS = [4, 3, 2, 1, 1, 1, 1, 1, 1, 1];
const SCENARIOS_OF_AN_ORGANISATION = 8;
const NEVER = 1e9;
/** Beyond any capacity of the modelled fleet, in requests a second. */
const SATURATING_RATE = 250;

export const NORMAL_MIX: readonly WorkShape[] = [TUTOR_REPLY, CASE_REVIEW];

/** The modelled engines; `change` makes some of them different. */
export function fleet(
  change: (position: number) => Partial<EngineModel> = () => ({}),
  size = ENGINES,
): readonly EngineModel[] {
  return Array.from({length: size}, (_, position) => ({
    endpoint: `engine-${position + 1}`,
    dataCenter: SIMULATED_DATA_CENTER,
    slots: SLOTS,
    cacheTokens: CACHE_TOKENS,
    slowness: () => 1,
    ...change(position),
  }));
}

/**
 * The organisations' demand, in proportion to their weights.
 *
 * @param rate Requests a second of all together.
 * @param scale Multiplies an organisation's rate, by time.
 * @param peakScale The highest scale of an organisation; the requests of one
 *     whose highest scale is the same are the same.
 */
export function demands(
  rate: number,
  shapes: readonly WorkShape[] = NORMAL_MIX,
  scale: (position: number, now: number) => number = () => 1,
  peakScale: (position: number) => number = () => 1,
): readonly Demand[] {
  const sum = WEIGHTS.reduce((total, weight) => total + weight, 0);
  return WEIGHTS.map((weight, position) => {
    const share = (rate * weight) / sum;
    return {
      organisation: `organisation-${position}`,
      weight,
      rate: now => share * scale(position, now),
      peakRate: share * peakScale(position),
      shapes,
      scenarios: SCENARIOS_OF_AN_ORGANISATION,
    };
  });
}

/** A run in which only the demand and the policies are special. */
export function simulation(
  seed: number,
  changes: Partial<Simulation> & Pick<Simulation, 'demands' | 'createPolicies'>,
): Simulation {
  return {
    engines: fleet(),
    callers: {retries: 0, obeysReturnTime: true},
    reports: {
      intervalMilliseconds: 500,
      lagMilliseconds: 500,
      lostCacheEvents: 0,
    },
    tripMilliseconds: 3,
    maximumQueuedRequests: 2_000,
    measureFrom: WARM_UP_MILLISECONDS,
    measureUntil: WARM_UP_MILLISECONDS + MEASURED_MILLISECONDS,
    seed,
    ...changes,
  };
}

/** What the fleet can do when it never runs dry and nobody hangs up. */
export interface Capacity {
  readonly requestsPerSecond: number;
  /** Engine time of the answers without any cache, over the engines' time. */
  readonly workShare: number;
}

function saturated(
  seed: number,
  shapes: readonly WorkShape[],
  createPolicies: (fraction: () => number) => LoadPolicies,
): Capacity {
  const patient = shapes.map(shape => ({
    ...shape,
    deadlineMilliseconds: NEVER,
  }));
  const figures = new SimulationRun(
    simulation(seed, {
      demands: demands(SATURATING_RATE, patient),
      createPolicies,
      maximumQueuedRequests: NEVER,
    }),
  ).run();
  return {
    requestsPerSecond: figures.usefulAnswersPerSecond,
    workShare: figures.usefulWorkShare,
  };
}

/**
 * Measures the capacity: the better of the two placements, first come, first
 * served, with a backlog at all times and nobody in a hurry.
 */
export function measureCapacity(
  seed: number,
  shapes: readonly WorkShape[] = NORMAL_MIX,
): Capacity {
  const chosen = saturated(seed, shapes, fraction => ({
    ...baselinePolicies(fraction),
    createPlacement: chosenPolicies(fraction).createPlacement,
  }));
  const baseline = saturated(seed, shapes, baselinePolicies);
  return chosen.workShare > baseline.workShare ? chosen : baseline;
}

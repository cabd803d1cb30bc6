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

/** The current number of engines for the tutor models. */
const ENGINES = 8;
const SLOTS = 16;
/** Enough for the prompts of about 20 scenarios. */
const CACHE_TOKENS = 16_000;

/** Time under load before the measurement starts. */
export const WARM_UP_MILLISECONDS = 15_000;
export const MEASURED_MILLISECONDS = 240_000;

/** About ten organisations, a few of them large. */
const WEIGHTS = [4, 3, 2, 1, 1, 1, 1, 1, 1, 1];
const SCENARIOS_PER_ORGANISATION = 8;
/** Used as a queue length and as a deadline in milliseconds. */
const EFFECTIVELY_UNLIMITED = 1e9;
/**
 * Rate in requests per second that exceeds the modelled fleet's capacity in every case.
 */
const SATURATING_RATE = 250;

export const NORMAL_MIX: readonly WorkShape[] = [TUTOR_REPLY, CASE_REVIEW];

/**
 * Returns the modelled engines; `change` returns the parameters in which an engine
 * differs.
 */
export function modelledFleet(
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
 * Returns the organisations' demands, in proportion to their weights.
 *
 * @param rate Requests per second of all organisations together.
 * @param scale Factor on an organisation's rate, by time in milliseconds.
 * @param peakScale Maximum of `scale` for an organisation. Organisations draw the same
 *     requests in two runs if their peak rate is the same.
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
      scenarios: SCENARIOS_PER_ORGANISATION,
    };
  });
}

/** Returns a simulation with default parameters, except for the given changes. */
export function simulation(
  seed: number,
  changes: Partial<Simulation> & Pick<Simulation, 'demands' | 'createPolicies'>,
): Simulation {
  return {
    engines: modelledFleet(),
    callers: {retries: 0, honoursRetryAfter: true},
    reports: {
      intervalMilliseconds: 500,
      lagMilliseconds: 500,
      lostCacheEventShare: 0,
    },
    roundTripMilliseconds: 3,
    maximumQueuedRequests: 2_000,
    measureFrom: WARM_UP_MILLISECONDS,
    measureUntil: WARM_UP_MILLISECONDS + MEASURED_MILLISECONDS,
    seed,
    ...changes,
  };
}

/** Throughput of the fleet with a permanent backlog and without deadlines. */
export interface Capacity {
  readonly requestsPerSecond: number;
  /**
   * Engine time that the answers take without cache hits, divided by the engines' total
   * time.
   */
  readonly workShare: number;
}

function measureSaturated(
  seed: number,
  shapes: readonly WorkShape[],
  createPolicies: (fraction: () => number) => LoadPolicies,
): Capacity {
  const shapesWithoutDeadline = shapes.map(shape => ({
    ...shape,
    deadlineMilliseconds: EFFECTIVELY_UNLIMITED,
  }));
  const figures = new SimulationRun(
    simulation(seed, {
      demands: demands(SATURATING_RATE, shapesWithoutDeadline),
      createPolicies,
      maximumQueuedRequests: EFFECTIVELY_UNLIMITED,
    }),
  ).run();
  return {
    requestsPerSecond: figures.usefulAnswersPerSecond,
    workShare: figures.usefulWorkShare,
  };
}

/**
 * Measures the capacity with first-come, first-served queues, a permanent backlog and no
 * deadlines. The better result of the chosen and the baseline placement counts.
 */
export function measureCapacity(
  seed: number,
  shapes: readonly WorkShape[] = NORMAL_MIX,
): Capacity {
  const chosen = measureSaturated(seed, shapes, fraction => ({
    ...baselinePolicies(fraction),
    createPlacement: chosenPolicies(fraction).createPlacement,
  }));
  const baseline = measureSaturated(seed, shapes, baselinePolicies);
  return chosen.workShare > baseline.workShare ? chosen : baseline;
}

import {AdmitAll, type AdmissionPolicy} from './admission-policy.js';
import {AffinityPlacement} from './affinity-placement.js';
import {DeadlineRefusal} from './deadline-refusal.js';
import {FairQueue} from './fair-queue.js';
import {FirstComeQueue} from './first-come-queue.js';
import type {PlacementPolicy} from './placement-policy.js';
import type {QueuePolicy} from './queue-policy.js';
import {RandomPlacement} from './random-placement.js';
import {NeverRefuse, type RefusalPolicy} from './refusal-policy.js';
import {FairAdmission} from './fair-admission.js';
import {NeverShed, type SheddingPolicy} from './shedding-policy.js';
import {ShedSlowEndpoints} from './shed-slow-endpoints.js';
import {NeverShift, type ShiftPolicy} from './shift-policy.js';
import {TripCostShift} from './trip-cost-shift.js';

/** The set of policies used by a `LoadCore`. */
export interface LoadPolicies {
  readonly admission: AdmissionPolicy;
  readonly refusal: RefusalPolicy;
  readonly shift: ShiftPolicy;
  readonly shedding: SheddingPolicy;
  /** Creates the queue of one service and model. */
  readonly createQueue: () => QueuePolicy;
  /** Creates the placement policy of one service and model. */
  readonly createPlacement: () => PlacementPolicy;
}

/**
 * Creates the policies that performed best in the measurements.
 *
 * @param fraction Returns random numbers in [0, 1).
 * @example
 * ```ts
 * const policies = chosenPolicies(() => random.fraction());
 * ```
 */
export function chosenPolicies(fraction: () => number): LoadPolicies {
  return {
    admission: new FairAdmission(),
    refusal: new DeadlineRefusal(),
    shift: new TripCostShift(),
    shedding: new ShedSlowEndpoints(),
    createQueue: () => new FairQueue(),
    createPlacement: () => new AffinityPlacement(fraction),
  };
}

/**
 * Creates the simple policies that serve as the baseline in measurements.
 *
 * @param fraction Returns random numbers in [0, 1).
 */
export function baselinePolicies(fraction: () => number): LoadPolicies {
  return {
    admission: new AdmitAll(),
    refusal: new NeverRefuse(),
    shift: new NeverShift(),
    shedding: new NeverShed(),
    createQueue: () => new FirstComeQueue(),
    createPlacement: () => new RandomPlacement(fraction),
  };
}

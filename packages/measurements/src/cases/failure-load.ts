import {SMALL_FLEET, type FleetPlan} from '../fleet-plan.js';
import type {FleetRunOptions} from '../fleet-run.js';
import type {LoadOptions} from '../load-run.js';

/** How callers of a case behave. */
export interface CallerLoad extends LoadOptions {
  /** Share (0 to 1) of completions that carry a key. */
  readonly keyedShare: number;
}

/**
 * Callers of the failure cases: all use keys and come back, and pause between
 * requests, so that the machine has room for what the failure adds.
 */
const FAILURE_LOAD: CallerLoad = {
  keyedShare: 1,
  concurrency: 12,
  mostAttempts: 8,
  repeatShare: 0.1,
  pauseMilliseconds: 50,
};

/** A fleet under the callers of the failure cases, or under others. */
export function failureLoad(
  plan: FleetPlan,
  changes: Partial<CallerLoad> = {},
): FleetRunOptions {
  const {keyedShare, ...load} = {...FAILURE_LOAD, ...changes};
  return {plan, keyedShare, load};
}

/** The demo's fleet with engines that keep streams open for long. */
export function slowFleet(
  seed: number,
  millisecondsPerToken: number,
): FleetPlan {
  const {engine} = SMALL_FLEET;
  return {...SMALL_FLEET, seed, engine: {...engine, millisecondsPerToken}};
}

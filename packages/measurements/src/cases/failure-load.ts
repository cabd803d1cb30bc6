import {SMALL_FLEET, type FleetPlan} from '../fleet-plan.js';
import type {FleetRunOptions} from '../fleet-run.js';
import type {LoadOptions} from '../load-run.js';

/** Behaviour of the callers in a case. */
export interface CallerLoad extends LoadOptions {
  /** Share (0 to 1) of completions that carry an idempotency key. */
  readonly keyedShare: number;
}

/**
 * Callers of the failure cases. All of them send idempotency keys and retry; the pause
 * between requests leaves processor time for the work that the failure causes.
 */
const FAILURE_LOAD: CallerLoad = {
  keyedShare: 1,
  concurrency: 12,
  maximumAttempts: 8,
  repeatShare: 0.1,
  pauseMilliseconds: 50,
};

/**
 * Options of a run under the load of the failure cases, with optional changes to it.
 */
export function failureLoad(
  plan: FleetPlan,
  changes: Partial<CallerLoad> = {},
): FleetRunOptions {
  const {keyedShare, ...load} = {...FAILURE_LOAD, ...changes};
  return {plan, keyedShare, load};
}

/** The demo's fleet with slower engines, so that streams stay open longer. */
export function slowEngineFleet(
  seed: number,
  millisecondsPerToken: number,
): FleetPlan {
  const {engine} = SMALL_FLEET;
  return {...SMALL_FLEET, seed, engine: {...engine, millisecondsPerToken}};
}

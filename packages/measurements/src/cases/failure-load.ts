import type {FleetPlan} from '../fleet-plan.js';
import type {FleetRunOptions} from '../fleet-run.js';

/**
 * Callers of the failure cases: all use keys and come back, and pause between
 * requests, so that the machine has room for what the failure adds.
 */
export function failureLoad(plan: FleetPlan): FleetRunOptions {
  return {
    plan,
    keyedShare: 1,
    load: {
      concurrency: 12,
      mostAttempts: 8,
      repeatShare: 0.1,
      pauseMilliseconds: 50,
    },
  };
}

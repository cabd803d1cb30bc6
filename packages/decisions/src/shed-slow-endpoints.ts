import type {EndpointState} from './endpoint-state.js';
import {SheddingPolicy} from './shedding-policy.js';

/**
 * First tokens this many times slower than the lane's shed an endpoint. Batches
 * of different lengths differ by less than twice; an endpoint three times slower
 * serves a third, and costs each caller that meets it more than a refusal.
 */
const SLOW_RATIO = 3;
/** A probe within this many times the expected time went well. */
const RECOVERED_RATIO = 2;
/** The first probe goes after this long. */
const FIRST_PROBE_MILLISECONDS = 2_000;
/** Each probe that went badly doubles the interval, up to this. */
const LONGEST_PROBE_MILLISECONDS = 32_000;

/**
 * Sheds an endpoint whose first tokens are slow or overdue, and probes it ever
 * more rarely. Load: one endpoint of several is ten times slower. Harm: as many
 * callers as reach it wait ten times longer, and since its slots empty slowly it
 * keeps them waiting.
 */
export class ShedSlowEndpoints extends SheddingPolicy {
  override isSlow(
    state: EndpointState,
    overdueRatio: number,
    now: number,
  ): boolean {
    return state.health.slownessWith(overdueRatio, now) >= SLOW_RATIO;
  }

  override probeIntervalMilliseconds(failedProbes: number): number {
    return Math.min(
      LONGEST_PROBE_MILLISECONDS,
      FIRST_PROBE_MILLISECONDS * 2 ** failedProbes,
    );
  }

  override isGoodProbe(ratio: number): boolean {
    return ratio <= RECOVERED_RATIO;
  }
}

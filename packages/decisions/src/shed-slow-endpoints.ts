import type {EndpointState} from './endpoint-state.js';
import {SheddingPolicy} from './shedding-policy.js';

/**
 * An endpoint is shed if its first tokens are this many times slower than the
 * lane's. Differences in batch length account for less than a factor of two. An
 * endpoint that is three times slower serves a third of the requests, and costs
 * each caller placed on it more than a refusal would.
 */
const SLOW_RATIO = 3;
/**
 * A probe is successful if it takes at most this many times the expected time.
 */
const RECOVERED_RATIO = 2;
/** Interval before the first probe, in milliseconds. */
const FIRST_PROBE_INTERVAL_MILLISECONDS = 2_000;
/**
 * Maximum interval between probes, in milliseconds; each failed probe doubles
 * the interval.
 */
const MAXIMUM_PROBE_INTERVAL_MILLISECONDS = 32_000;

/**
 * Sheds endpoints whose first tokens are slow or overdue, and probes them with
 * exponential backoff. When one of several endpoints is ten times slower, every
 * caller placed on it waits ten times longer, and because its slots are
 * released slowly, they stay occupied by waiting callers.
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
      MAXIMUM_PROBE_INTERVAL_MILLISECONDS,
      FIRST_PROBE_INTERVAL_MILLISECONDS * 2 ** failedProbes,
    );
  }

  override isGoodProbe(ratio: number): boolean {
    return ratio <= RECOVERED_RATIO;
  }
}

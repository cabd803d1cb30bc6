/** What a retry delay follows from. */
export interface RefusedLoad {
  /** Expected time to the first event, milliseconds. */
  readonly expectedMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Part of the recent requests of the priority that was sent, 0 to 1. */
  readonly sentShare: number;
  /** Time that the caller has left, milliseconds. */
  readonly remainingMilliseconds: number;
}

/** Callers respect a delay up to this part of their remaining time. */
const MAXIMUM_REMAINING_SHARE = 1 / 3;
/** Part of the delay that is random, so that callers don't come back together. */
const JITTER_SHARE = 0.5;
/** Where almost nothing is sent, the delay is that of this share. */
const MINIMUM_SENT_SHARE = 0.1;

/**
 * Returns after how many milliseconds a refused caller may come back: once what is
 * ahead has begun, and later where more were refused.
 *
 * @param fraction Random number from 0 to below 1.
 */
export function retryDelay(load: RefusedLoad, fraction: number): number {
  const wait = Math.max(load.expectedMilliseconds, load.objectiveMilliseconds);
  const expected = wait / Math.max(MINIMUM_SENT_SHARE, load.sentShare);
  const maximum =
    Math.max(0, load.remainingMilliseconds) * MAXIMUM_REMAINING_SHARE;
  return (
    Math.min(expected, maximum) * (1 - JITTER_SHARE + JITTER_SHARE * fraction)
  );
}

import {expectedOutputTokens, type RunLength} from './run-length.js';

/** A run at an endpoint that leaves. */
export interface LeavingRun extends RunLength {
  /** Time for an output token, milliseconds. */
  readonly tokenMilliseconds: number;
  /** Time until its caller's deadline, milliseconds. */
  readonly remainingMilliseconds: number;
}

/** Share of the time left within which a run has to be expected to end to stay. */
const SAFE_SHARE = 0.5;

/**
 * Decides whether a run has to be moved. Answers endpoints that leave during long
 * streams, which would be cut; runs that end in time stay, as a move costs bytes and a
 * pause. Estimated lengths are often too low, so that half of the time is kept in
 * reserve.
 *
 * @param timeLeftMilliseconds Time until the endpoint ends.
 * @example
 * ```ts
 * // 100 tokens of 10 ms are left, and the endpoint ends in 2 s.
 * needsMove({lengthHint: 300, maximumOutputTokens: 400, deliveredTokens: 200, tokenMilliseconds: 10, remainingMilliseconds: 9_000}, 2_000); // false
 * ```
 */
export function needsMove(
  run: LeavingRun,
  timeLeftMilliseconds: number,
): boolean {
  const restMilliseconds =
    (expectedOutputTokens(run) - run.deliveredTokens) * run.tokenMilliseconds;
  return (
    Math.min(restMilliseconds, run.remainingMilliseconds) >
    SAFE_SHARE * timeLeftMilliseconds
  );
}

import {expectedOutputTokens, type RunLength} from './run-length.js';

/** A run that may be copied to a second engine while it grows. */
export interface BackupRun extends RunLength {
  readonly promptTokens: number;
  /** From 0, the most urgent, to 9. */
  readonly priority: number;
  /** Time for an output token, milliseconds. */
  readonly tokenMilliseconds: number;
}

/** What a copy costs at a service's engines. */
export interface CopyCost {
  readonly bytesPerToken: number;
  /** Capacity of an engine's link, megabits per second; undefined if not known. */
  readonly linkMegabitsPerSecond: number | undefined;
  /** Runs that one engine has at once. */
  readonly slots: number;
  /** Whether the copy crosses the link between two data centres. */
  readonly isRemote: boolean;
}

/**
 * Shortest rest of a run that is copied, milliseconds. A copy lags behind its run by
 * some 200 ms, and a caller that loses less than this asks again without much loss.
 */
const MINIMUM_RUN_MILLISECONDS = 400;
/**
 * Share of an engine's link that copies may take if all its runs were copied. The rest
 * is left for shared prompt parts that are fetched.
 */
const MAXIMUM_LINK_SHARE = 0.25;
/** Bytes between data centres count as this many within one. */
const REMOTE_BYTE_FACTOR = 4;
/** Capacity that an engine's link has at least, megabits per second. */
const MINIMUM_LINK_MEGABITS = 10_000;

/** Tokens whose memory is copied by the expected end of a run. */
export function copiedTokens(
  run: RunLength & {readonly promptTokens: number},
): number {
  return run.promptTokens + expectedOutputTokens(run);
}

/**
 * Decides whether a run is worth a copy. Answers crashes of engines, which cut streams
 * that may not run again: callers lose the more, the longer a run lasts and the more
 * urgent it is, and the copy of its prompt and output takes time on an engine's link.
 *
 * @example
 * ```ts
 * // 826 prompt and 294 output tokens of 18 KB, 1.2 s long, on 180 Gbit/s: 0.9 ms.
 * isWorthBackup(run, {bytesPerToken: 18_432, linkMegabitsPerSecond: 180_000, slots: 32, isRemote: false}); // true
 * ```
 */
export function isWorthBackup(
  run: BackupRun,
  {bytesPerToken, linkMegabitsPerSecond, slots, isRemote}: CopyCost,
): boolean {
  const runMilliseconds =
    (expectedOutputTokens(run) - run.deliveredTokens) * run.tokenMilliseconds;
  if (runMilliseconds < MINIMUM_RUN_MILLISECONDS) {
    return false;
  }
  const megabits = (copiedTokens(run) * bytesPerToken * 8) / 1_000_000;
  const linkMilliseconds =
    (1_000 * megabits * (isRemote ? REMOTE_BYTE_FACTOR : 1)) /
    (linkMegabitsPerSecond ?? MINIMUM_LINK_MEGABITS);
  const linkShare = (linkMilliseconds * slots) / runMilliseconds;
  return linkShare <= MAXIMUM_LINK_SHARE / (1 + run.priority);
}

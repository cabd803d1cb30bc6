/** Pause after the first denial, in milliseconds; it doubles with each further one. */
const MINIMUM_PAUSE_MILLISECONDS = 250;
/** Maximum pause between two requests that are denied, in milliseconds. */
const MAXIMUM_PAUSE_MILLISECONDS = 4_000;

/**
 * Exponential backoff for refill requests that the log denies. Denials repeat when all
 * hosts together hold the maximum allowed and many are below their target. Without a
 * backoff, every host would request tokens in each exchange for each organisation, and
 * all hosts would have to read and fold these records.
 *
 * @example
 * ```ts
 * if (backoff.mayRequest(now)) {
 *   requestGrant(tokens);
 * }
 * ```
 */
export class RefillBackoff {
  private pauseMilliseconds = 0;
  private nextRequestAt = -Infinity;

  /**
   * Whether a refill may be requested now.
   *
   * @param now Monotonic time, milliseconds.
   */
  mayRequest(now: number): boolean {
    return now >= this.nextRequestAt;
  }

  /**
   * Records the log's verdict on a refill, requested while no caller's request waited.
   *
   * @param granted Tokens granted; 0 if the refill was denied.
   * @param now Monotonic time, milliseconds.
   */
  recordVerdict(granted: number, now: number): void {
    this.pauseMilliseconds =
      granted > 0
        ? 0
        : Math.min(
            MAXIMUM_PAUSE_MILLISECONDS,
            Math.max(MINIMUM_PAUSE_MILLISECONDS, 2 * this.pauseMilliseconds),
          );
    this.nextRequestAt = now + this.pauseMilliseconds;
  }
}

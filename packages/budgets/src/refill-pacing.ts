const SHORTEST_PAUSE_MILLISECONDS = 250;
const LONGEST_PAUSE_MILLISECONDS = 4_000;

/**
 * When the log is asked again for tokens to keep in hand, after it gave none. Each
 * denial doubles the pause. Load: all hosts together hold as much as they may, and many
 * lack a part of their usual. Harm without a pause: every host asks in each exchange
 * for each organisation, and all hosts read and fold all of it.
 *
 * @example
 * ```ts
 * if (pacing.mayAsk(now)) {
 *   ask(wish);
 * }
 * ```
 */
export class RefillPacing {
  private pauseMilliseconds = 0;
  private askAfter = -Infinity;

  /** Whether a refill may be asked for now, by the monotonic clock. */
  mayAsk(now: number): boolean {
    return now >= this.askAfter;
  }

  /**
   * Takes the log's verdict on what was asked while no request waited.
   *
   * @param granted 0 where it gave nothing.
   */
  decided(granted: number, now: number): void {
    this.pauseMilliseconds =
      granted > 0
        ? 0
        : Math.min(
            LONGEST_PAUSE_MILLISECONDS,
            Math.max(SHORTEST_PAUSE_MILLISECONDS, 2 * this.pauseMilliseconds),
          );
    this.askAfter = now + this.pauseMilliseconds;
  }
}

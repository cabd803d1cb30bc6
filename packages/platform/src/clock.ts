/**
 * The clock of one process. No guarantee of the system depends on comparing the
 * clocks of two hosts.
 */
export abstract class Clock {
  /** Milliseconds of this process's monotonic clock, from an arbitrary origin. */
  abstract monotonicMilliseconds(): number;

  /**
   * Milliseconds since 1970; only for logs, for display, and for the age of what outlasts
   * the process.
   */
  abstract wallMilliseconds(): number;

  /**
   * Resolves after a delay, or immediately when the signal is aborted; never
   * rejects.
   *
   * @param milliseconds The delay.
   * @example
   * ```ts
   * await clock.sleep(500, signal);
   * ```
   */
  abstract sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

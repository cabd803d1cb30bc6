/**
 * Time as one process sees it. No promise of the system compares the clocks of
 * two hosts.
 */
export abstract class Clock {
  /** Milliseconds on this process's own monotonic clock; the zero is arbitrary. */
  abstract monotonicMilliseconds(): number;

  /** Milliseconds since 1970, for logs and for people only. */
  abstract wallMilliseconds(): number;

  /**
   * Resolves after a delay, or at once when the signal is aborted; never
   * rejects.
   *
   * @param milliseconds How long to wait.
   * @example
   * ```ts
   * await clock.sleep(500, signal);
   * ```
   */
  abstract sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

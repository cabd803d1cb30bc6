/** What a host observes of its requests at one service. */
export interface ServiceActivity {
  /** Number of endpoints at which it has requests in progress. */
  readonly busyEndpoints: number;
  /**
   * When any endpoint last sent something, on the monotonic clock in
   * milliseconds.
   */
  readonly lastDataAt: number;
}

/** A single silent endpoint may have crashed, or be busy with a long prompt. */
const MINIMUM_BUSY_ENDPOINTS = 2;
/** Longer than the pauses of endpoints that work on several requests. */
const SILENCE_MILLISECONDS = 300;

/**
 * Detects that all endpoints at which a host has requests in progress are
 * silent at the same time, so that it checks whether it still reaches them.
 * When packets are dropped, connections stay open, and otherwise the first sign
 * of a lost path would be the timeouts of single answers.
 *
 * @example
 * ```ts
 * const silence = new ServiceSilence();
 * if (silence.observe({busyEndpoints, lastDataAt}, now)) {
 *   trials.start(service);
 * }
 * ```
 */
export class ServiceSilence {
  private busySince: number | undefined;

  /**
   * Returns whether the endpoints are silent. Must be called several times a
   * second.
   *
   * @param now Monotonic clock, milliseconds.
   */
  observe({busyEndpoints, lastDataAt}: ServiceActivity, now: number): boolean {
    if (busyEndpoints < MINIMUM_BUSY_ENDPOINTS) {
      this.busySince = undefined;
      return false;
    }
    this.busySince ??= now;
    const silentSince = Math.max(this.busySince, lastDataAt);
    return now - silentSince >= SILENCE_MILLISECONDS;
  }
}

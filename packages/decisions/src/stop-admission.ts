/** Expected duration of a request that starts now. */
export interface ExpectedDuration {
  /** Typical duration of requests of its kind, in milliseconds. */
  readonly typicalMilliseconds: number;
  /**
   * Maximum duration, in milliseconds; the request is ended by then in any
   * case.
   */
  readonly maximumMilliseconds: number;
}

/**
 * Decides whether a process that is shutting down still accepts a request. When
 * most hosts of a data centre stop at once, callers still reach them. If all of
 * them refused every request, callers would be refused by one host after
 * another. If they accepted everything, requests that do not end before the
 * process does would be aborted, and may not be retried. Callers that cannot
 * know about the shutdown yet are served if they are likely to finish in time;
 * later ones only if that is certain.
 */
export class StopAdmission {
  /**
   * @param noticePeriodEndsAt When callers can know about the shutdown, in
   *     milliseconds of the monotonic clock.
   * @param abortAt When requests in progress are aborted, in milliseconds of
   *     the monotonic clock.
   */
  constructor(
    readonly noticePeriodEndsAt: number,
    private readonly abortAt: number,
  ) {}

  /** Whether a request may start now. */
  admits(now: number, expected: ExpectedDuration): boolean {
    const {typicalMilliseconds, maximumMilliseconds} = expected;
    const needed =
      now < this.noticePeriodEndsAt
        ? Math.min(typicalMilliseconds, maximumMilliseconds)
        : maximumMilliseconds;
    return now + needed <= this.abortAt;
  }
}

/** How long a request that begins now takes. */
export interface ExpectedTime {
  /** By the usual time of its kind, milliseconds. */
  readonly likelyMilliseconds: number;
  /** It is ended by then in any case, milliseconds. */
  readonly longestMilliseconds: number;
}

/**
 * Whether a process that stops still takes a request. Load: most hosts of a data
 * centre stop at once, and callers still come to them. Harm of refusing all: they are
 * refused by host after host. Harm of taking all: what does not end before the process
 * does is cut, and may not be repeated. Callers who can't know of the stop yet are
 * served if they are likely to end in time; later ones only if that is certain.
 */
export class StopAdmission {
  /**
   * @param noticeEndsAt When callers can know of the stop, on the monotonic clock.
   * @param cutAt When what still runs is cut, on the monotonic clock.
   */
  constructor(
    private readonly noticeEndsAt: number,
    private readonly cutAt: number,
  ) {}

  /** Whether a request may begin now. */
  admits(now: number, expected: ExpectedTime): boolean {
    const {likelyMilliseconds, longestMilliseconds} = expected;
    const needed =
      now < this.noticeEndsAt
        ? Math.min(likelyMilliseconds, longestMilliseconds)
        : longestMilliseconds;
    return now + needed <= this.cutAt;
  }
}

/** What an answer changed in the limit that an endpoint has named. */
export enum LimitChange {
  /** Nothing. */
  None = 'none',
  /** There was no limit before. */
  Named = 'named',
  /** There was another limit before. */
  Changed = 'changed',
  /** There is no limit any more. */
  Ended = 'ended',
}

/**
 * The limit of requests that an endpoint names in its answers, which holds for as long
 * as its answers name it. All times are on the monotonic clock, in milliseconds.
 *
 * Answers overtake one another. One without a limit ends it only if its request was
 * sent after the latest answer with a limit had come, since the endpoint may have begun
 * any other answer before it needed the limit.
 *
 * @example
 * ```ts
 * const limit = new StatedLimit();
 * limit.answered(1.5, sentAt, now); // LimitChange.Named
 * limit.requestsPerSecond; // 1.5
 * ```
 */
export class StatedLimit {
  private current: number | undefined;
  private namedAt = -Infinity;

  /** Requests a second from all hosts together; undefined without a limit. */
  get requestsPerSecond(): number | undefined {
    return this.current;
  }

  /** Time since the latest answer that named the limit; infinite before the first one. */
  ageMilliseconds(now: number): number {
    return now - this.namedAt;
  }

  /**
   * Records an answer.
   *
   * @param named The limit that it names; undefined if it names none.
   * @param sentAt When its request was sent.
   */
  answered(
    named: number | undefined,
    sentAt: number,
    now: number,
  ): LimitChange {
    const before = this.current;
    if (named === undefined) {
      if (before === undefined || sentAt <= this.namedAt) {
        return LimitChange.None;
      }
      this.current = undefined;
      return LimitChange.Ended;
    }
    this.current = named;
    this.namedAt = now;
    if (before === undefined) {
      return LimitChange.Named;
    }
    return before === named ? LimitChange.None : LimitChange.Changed;
  }
}

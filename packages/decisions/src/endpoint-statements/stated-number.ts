/** What an answer changed in a number that an endpoint has named. */
export enum StatementChange {
  /** Nothing. */
  None = 'none',
  /** There was none before. */
  Named = 'named',
  /** There was another one before. */
  Changed = 'changed',
  /** There is none any more. */
  Ended = 'ended',
}

/**
 * A number that an endpoint names in its answers, such as the requests that it takes in
 * a second. It holds for as long as the answers name it. All times are on the monotonic
 * clock, in milliseconds.
 *
 * Answers overtake one another. One without the number ends it only if its request was
 * sent after the latest answer with it had come, since the endpoint may have begun any
 * other answer before it first named the number.
 *
 * @example
 * ```ts
 * const limit = new StatedNumber();
 * limit.answered(1.5, sentAt, now); // StatementChange.Named
 * limit.value; // 1.5
 * ```
 */
export class StatedNumber {
  private current: number | undefined;
  private namedAt = -Infinity;

  /** The number in force; undefined without one. */
  get value(): number | undefined {
    return this.current;
  }

  /** Time since the latest answer that named it; infinite before the first one. */
  ageMilliseconds(now: number): number {
    return now - this.namedAt;
  }

  /**
   * Records an answer.
   *
   * @param named The number that it names; undefined if it names none.
   * @param sentAt When its request was sent.
   */
  answered(
    named: number | undefined,
    sentAt: number,
    now: number,
  ): StatementChange {
    const before = this.current;
    if (named === undefined) {
      if (before === undefined || sentAt <= this.namedAt) {
        return StatementChange.None;
      }
      this.current = undefined;
      return StatementChange.Ended;
    }
    this.current = named;
    this.namedAt = now;
    if (before === undefined) {
      return StatementChange.Named;
    }
    return before === named ? StatementChange.None : StatementChange.Changed;
  }
}

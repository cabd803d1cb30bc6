/** Stated time limits of a route that are remembered. */
const MAXIMUM_KEPT = 32;
const MINIMUM_KNOWN = 8;
/**
 * A caller that was refused comes back after up to a third of its time. A limit below
 * this part of the usual one is not rounding or network delay.
 */
const RETURNING_SHARE = 0.9;
/** Stated limits that differ by less are the same, milliseconds. */
const SAME_LIMIT_MILLISECONDS = 1;
/**
 * Part of the stated limits that must be the same for any smaller one to show a retry.
 * A retry after some milliseconds can't be told otherwise.
 */
const SAME_SHARE = 1 / 3;

/**
 * Recognises callers that were refused before by a stated time limit that is clearly
 * below what callers of the same route usually state. Answers overload in which the
 * same callers are refused again and again.
 */
export class ReturningCallers {
  private readonly limits = new Map<string, number[]>();

  /**
   * Whether a request is probably a retry. Each call records one request.
   *
   * @param limitMilliseconds What the caller states; undefined if nothing.
   */
  isReturning(route: string, limitMilliseconds: number | undefined): boolean {
    if (limitMilliseconds === undefined) {
      return false;
    }
    const known = this.limits.get(route) ?? [];
    this.limits.set(route, known);
    const sorted = [...known].sort((one, other) => one - other);
    // Under overload up to half of the requests are retries.
    const usual = sorted[Math.floor(sorted.length * 0.75)] ?? 0;
    known.push(limitMilliseconds);
    if (known.length > MAXIMUM_KEPT) {
      known.shift();
    }
    const same = sorted.filter(
      limit => Math.abs(limit - usual) < SAME_LIMIT_MILLISECONDS,
    );
    const smallestUsual =
      same.length >= sorted.length * SAME_SHARE
        ? usual - SAME_LIMIT_MILLISECONDS
        : RETURNING_SHARE * usual;
    return sorted.length >= MINIMUM_KNOWN && limitMilliseconds < smallestUsual;
  }
}

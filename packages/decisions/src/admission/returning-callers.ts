/** Stated time limits of a route that are remembered. */
const MAXIMUM_KEPT = 32;
const MINIMUM_KNOWN = 8;
/**
 * A caller that was refused comes back after up to a third of its time. A limit below
 * this part of the usual one is not rounding or network delay.
 */
const RETURNING_SHARE = 0.9;

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
    return (
      sorted.length >= MINIMUM_KNOWN &&
      limitMilliseconds < RETURNING_SHARE * usual
    );
  }
}

/** Time in which the counts of arrivals fall to 1/e, milliseconds. */
const MEMORY_MILLISECONDS = 2_000;
/**
 * Part of the arrivals that may be retries. Beyond it the other hosts refuse as well, and
 * callers would be sent back and forth.
 */
const MAXIMUM_RETURNING_SHARE = 0.1;
/** Minimum weight of counted arrivals from which their share tells something. */
const MINIMUM_ARRIVALS = 4;
/**
 * A first attempt is sent on if its answer is expected to start after this part of its
 * objective: the rest is left for the second attempt, which another host has to begin.
 */
const OBJECTIVE_PART = 0.5;
/** Bounds of the delay before the second attempt, in milliseconds. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 5;
const RETRY_AFTER_SPREAD_MILLISECONDS = 15;

/** A request that has arrived at a saturated host. */
export interface OverflowRequest {
  readonly objectiveMilliseconds: number;
  /** Whether the caller was probably refused before. */
  readonly isReturning: boolean;
}

/**
 * Decides whether a saturated host refuses a first attempt early, so that the caller's
 * second attempt reaches another host in time.
 *
 * Answers heavy callers that the load balancer's hash assigns to a few hosts, while the
 * others of the data centre are almost idle. Refusing costs a fraction of the processor
 * time of serving, and the load balancer gives a retry to another host. Callers that
 * come back are never sent on, and many of them are a sign that no host has capacity.
 *
 * @example
 * ```ts
 * overflow.recordArrival(request.isReturning, now);
 * if (overflow.sendsOn(request, waitMilliseconds, now)) {
 *   refuse(request, overflow.retryAfterMilliseconds());
 * }
 * ```
 */
export class CallerOverflow {
  private arrivals = 0;
  private returning = 0;
  private countedAt = -Infinity;

  /**
   * @param fraction Random number from 0 to below 1.
   * @param hasOtherHosts Whether another host may serve callers.
   */
  constructor(
    private readonly fraction: () => number,
    private readonly hasOtherHosts: () => boolean,
  ) {}

  /**
   * Records a request that was read.
   *
   * @param now Monotonic clock, milliseconds.
   */
  recordArrival(isReturning: boolean, now: number): void {
    this.fade(now);
    this.arrivals++;
    this.returning += isReturning ? 1 : 0;
  }

  /**
   * Whether to refuse a request for another host to serve.
   *
   * @param waitMilliseconds Expected time from its first byte to the start of its answer.
   */
  sendsOn(
    {objectiveMilliseconds, isReturning}: OverflowRequest,
    waitMilliseconds: number,
    now: number,
  ): boolean {
    this.fade(now);
    return (
      !isReturning &&
      this.hasOtherHosts() &&
      waitMilliseconds > objectiveMilliseconds * OBJECTIVE_PART &&
      this.arrivals >= MINIMUM_ARRIVALS &&
      this.returning <= this.arrivals * MAXIMUM_RETURNING_SHARE
    );
  }

  /** Delay before the second attempt, milliseconds; other hosts can serve it at once. */
  retryAfterMilliseconds(): number {
    return (
      MINIMUM_RETRY_AFTER_MILLISECONDS +
      this.fraction() * RETRY_AFTER_SPREAD_MILLISECONDS
    );
  }

  private fade(now: number): void {
    const factor = Math.exp((this.countedAt - now) / MEMORY_MILLISECONDS);
    this.arrivals *= factor;
    this.returning *= factor;
    this.countedAt = now;
  }
}

/** A longer rest than this is asked for by mistake, milliseconds. */
const MAXIMUM_REST_MILLISECONDS = 600_000;
/** After this time a probe without an answer is followed by another, milliseconds. */
const PROBE_MILLISECONDS = 1_000;

/**
 * The rest that an endpoint has asked a host for. After it the host sends one request,
 * and more once that has been answered: an endpoint that needs another rest would get
 * the host's whole share at once. All times are on the monotonic clock, in milliseconds.
 *
 * @example
 * ```ts
 * const rest = new StatedRest();
 * rest.asked(3_000, now);
 * rest.mayTake(now + 2_900); // false
 * rest.mayTake(now + 3_000); // true
 * ```
 */
export class StatedRest {
  private until = -Infinity;
  private needsProbe = false;
  private probeSentAt = -Infinity;

  /** Whether the next request, or one in progress, is the first one after a rest. */
  get isOnTrial(): boolean {
    return this.needsProbe;
  }

  /** Time until the endpoint takes requests again; 0 if it does. */
  remainingMilliseconds(now: number): number {
    return Math.max(0, this.until - now);
  }

  /** Whether the host may send a request. */
  mayTake(now: number): boolean {
    return (
      now >= this.until &&
      (!this.needsProbe || now - this.probeSentAt >= PROBE_MILLISECONDS)
    );
  }

  /** Records that the endpoint asks for rest from now on. The longest rest counts. */
  asked(milliseconds: number, now: number): void {
    if (milliseconds <= 0) {
      return;
    }
    const until = now + Math.min(milliseconds, MAXIMUM_REST_MILLISECONDS);
    this.until = Math.max(this.until, until);
    this.needsProbe = true;
    this.probeSentAt = -Infinity;
  }

  /** Records that a request was sent. */
  requestSent(now: number): void {
    this.probeSentAt = now;
  }

  /**
   * Records an answer that asks for no rest.
   *
   * @param sentAt When its request was sent.
   */
  answered(sentAt: number): void {
    if (sentAt >= this.until) {
      this.needsProbe = false;
    }
  }
}

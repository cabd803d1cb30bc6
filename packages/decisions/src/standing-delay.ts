/**
 * Length of the window, in milliseconds. A queue that was not short at any time
 * in it is not a burst.
 */
const WINDOW_MILLISECONDS = 800;
/** Data that arrives within this time has not been queued, in milliseconds. */
const UNDELAYED_MILLISECONDS = 100;
/**
 * Minimum delay in the window from which the queue is standing, in
 * milliseconds. It stays so until data arrives without delay.
 */
const STANDING_DELAY_MILLISECONDS = 300;

interface Sample {
  readonly at: number;
  readonly milliseconds: number;
}

/**
 * Detects whether all data that reaches a host is delayed for every sender,
 * which means that it waits in a queue of the host itself. The decision uses
 * the minimum delay in a window, as in CoDel: a slow peer delays only its own
 * answers, and a burst leaves some answers without delay.
 *
 * @example
 * ```ts
 * delay.recordArrival(now, connectMilliseconds);
 * if (delay.isStanding(now)) leaveRotation();
 * ```
 */
export class StandingDelay {
  private readonly samples: Sample[] = [];
  private wasStanding = false;

  /**
   * Records the delay of data that the peer sent immediately, or the time after
   * which it had not arrived, in milliseconds.
   */
  recordArrival(now: number, milliseconds: number): void {
    this.samples.push({at: now, milliseconds});
    this.dropExpired(now);
  }

  /** Whether any data arrived without delay within the window. */
  isUndelayed(now: number): boolean {
    return this.minimumDelay(now) < UNDELAYED_MILLISECONDS;
  }

  /**
   * Whether there is a standing queue. Without samples in the window, the
   * previous result is kept.
   */
  isStanding(now: number): boolean {
    const minimum = this.minimumDelay(now);
    if (this.samples.length === 0) {
      return this.wasStanding;
    }
    const limit = this.wasStanding
      ? UNDELAYED_MILLISECONDS
      : STANDING_DELAY_MILLISECONDS;
    this.wasStanding = minimum >= limit;
    return this.wasStanding;
  }

  private minimumDelay(now: number): number {
    this.dropExpired(now);
    return Math.min(...this.samples.map(sample => sample.milliseconds));
  }

  private dropExpired(now: number): void {
    const oldest = now - WINDOW_MILLISECONDS;
    while ((this.samples[0]?.at ?? Infinity) < oldest) {
      this.samples.shift();
    }
  }
}

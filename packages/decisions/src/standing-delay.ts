/**
 * A queue that has not been short for so long is no burst, milliseconds. Each host asks
 * the store for something more often.
 */
const WINDOW_MILLISECONDS = 800;
/** From a least delay of this on, there is a standing queue... */
const STANDING_MILLISECONDS = 300;
/** ... and below this there is none any more. */
const GONE_MILLISECONDS = 100;

interface Sample {
  readonly at: number;
  readonly milliseconds: number;
}

/**
 * Whether whatever reaches a host is late, whoever sent it: then it waits in a queue of
 * the host itself. The least of the delays in a window decides, as in CoDel: a slow peer
 * delays its own answers only, and a burst leaves some prompt ones. Where nothing has
 * come in the window, all of it is late.
 *
 * @example
 * ```ts
 * delay.arrived(now, connectMilliseconds);
 * if (delay.isStanding(now)) leaveRotation();
 * ```
 */
export class StandingDelay {
  private readonly samples: Sample[] = [];
  private wasStanding = false;

  /** Something that is sent without delay came after so long. */
  arrived(now: number, milliseconds: number): void {
    this.samples.push({at: now, milliseconds});
    this.forget(now);
  }

  /** Whether there is a standing queue. */
  isStanding(now: number): boolean {
    this.forget(now);
    const least = Math.min(...this.samples.map(sample => sample.milliseconds));
    const limit = this.wasStanding ? GONE_MILLISECONDS : STANDING_MILLISECONDS;
    this.wasStanding = least >= limit;
    return this.wasStanding;
  }

  private forget(now: number): void {
    const oldest = now - WINDOW_MILLISECONDS;
    while ((this.samples[0]?.at ?? Infinity) < oldest) {
      this.samples.shift();
    }
  }
}

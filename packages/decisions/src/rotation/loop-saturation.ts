/** Length of the window over which idle time is added up, in milliseconds. */
const WINDOW_MILLISECONDS = 600;
/** Minimum length of the window for a meaningful share, in milliseconds. */
const MINIMUM_WINDOW_MILLISECONDS = 500;
/** Share of idle time below which the event loop has no capacity left. */
const SATURATED_IDLE_SHARE = 0.03;
/** Share of idle time from which a saturated event loop has capacity again. */
const FREE_IDLE_SHARE = 0.2;
/** Duration of a turn from which work waits in the event loop, in milliseconds. */
const LONG_TURN_MILLISECONDS = 40;

/** What is measured of an event loop. */
export interface LoopSample {
  /** Idle time since the process started, in milliseconds. */
  readonly idleMilliseconds: number;
  /** Duration of the last turn without its idle time, in milliseconds. */
  readonly turnMilliseconds: number;
}

interface TimedIdle {
  readonly at: number;
  readonly idleMilliseconds: number;
}

/**
 * Detects that the event loop of a host has no capacity left. The load balancer
 * chooses hosts by a hash of the caller: a large organisation whose callers
 * have one address gives its host more requests than its processor can handle,
 * while the other hosts of the data centre are almost idle.
 *
 * @example
 * ```ts
 * const {idleTime} = performance.nodeTiming;
 * saturation.observe(now, {idleMilliseconds: idleTime, turnMilliseconds});
 * if (saturation.isSaturated) leaveRotation();
 * ```
 */
export class LoopSaturation {
  private readonly samples: TimedIdle[] = [];
  private wasSaturated = false;

  /**
   * Whether the event loop has been busy for almost all of the window, and work
   * waits in it.
   */
  get isSaturated(): boolean {
    return this.wasSaturated;
  }

  /**
   * Records a measurement. Must be called several times a second.
   *
   * @param now Monotonic clock, in milliseconds.
   */
  observe(now: number, {idleMilliseconds, turnMilliseconds}: LoopSample): void {
    this.samples.push({at: now, idleMilliseconds});
    while (now - (this.samples[1]?.at ?? now) >= WINDOW_MILLISECONDS) {
      this.samples.shift();
    }
    const oldest = this.samples[0];
    const milliseconds = now - (oldest?.at ?? now);
    if (oldest === undefined || milliseconds < MINIMUM_WINDOW_MILLISECONDS) {
      return;
    }
    const idleShare =
      (idleMilliseconds - oldest.idleMilliseconds) / milliseconds;
    const maximumShare = this.wasSaturated
      ? FREE_IDLE_SHARE
      : SATURATED_IDLE_SHARE;
    this.wasSaturated =
      idleShare < maximumShare && turnMilliseconds >= LONG_TURN_MILLISECONDS;
  }
}

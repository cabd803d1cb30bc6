/** Length of the window over which idle time is added up, milliseconds. */
const WINDOW_MILLISECONDS = 500;
/** Share of idle time below which events are read in batches. */
const BUSY_IDLE_SHARE = 0.25;
/** Share of idle time from which each event is read at once again. */
const FREE_IDLE_SHARE = 0.5;
/**
 * Part of the time in which an event has to reach the caller that it may wait for its
 * batch. The rest is left for the event loop, whose turns are long under this load.
 */
const WAIT_PART = 0.25;

/** Idle time of an event loop up to a moment. */
interface IdleReading {
  readonly at: number;
  readonly idleMilliseconds: number;
}

/**
 * Decides for how long the events of a stream are collected before they are read.
 *
 * Answers a host whose event loop has hardly any time left while it relays many streams.
 * Each event costs a turn of the loop and a write of its own, about as much for seven
 * tokens as for twenty. Read together they leave time for new requests, and a caller sees
 * no difference as long as each event arrives within the time that the platform allows.
 *
 * @example
 * ```ts
 * const interval = new BatchInterval(200);
 * interval.observe(now, performance.nodeTiming.idleTime);
 * setTimeout(readEvents, interval.milliseconds);
 * ```
 */
export class BatchInterval {
  private readings: readonly IdleReading[] = [];
  private isBusy = false;
  private lastIdleShare = 1;

  /**
   * @param passMilliseconds Time after its generation within which an event has to reach
   *     the caller, milliseconds; 0 turns batches off.
   */
  constructor(private readonly passMilliseconds: number) {}

  /** How long events are collected, milliseconds; 0 if each is read at once. */
  get milliseconds(): number {
    return this.isBusy ? this.passMilliseconds * WAIT_PART : 0;
  }

  /** Idle share of the event loop in the last complete window, from 0 to 1. */
  get idleShare(): number {
    return this.lastIdleShare;
  }

  /**
   * Records the idle time. Must be called several times a second.
   *
   * @param now Monotonic clock, milliseconds.
   * @param idleMilliseconds Idle time of the event loop since its start, milliseconds.
   */
  observe(now: number, idleMilliseconds: number): void {
    const [first] = this.readings;
    if (first !== undefined && now - first.at >= WINDOW_MILLISECONDS) {
      this.lastIdleShare =
        (idleMilliseconds - first.idleMilliseconds) / (now - first.at);
      this.isBusy =
        this.lastIdleShare < (this.isBusy ? FREE_IDLE_SHARE : BUSY_IDLE_SHARE);
    }
    const recent = this.readings.filter(
      ({at}, index) =>
        now - at < WINDOW_MILLISECONDS || index === this.readings.length - 1,
    );
    this.readings = [...recent, {at: now, idleMilliseconds}];
  }
}

/** Interval of the timers; up to this much of a block may go unmeasured. */
const INTERVAL_MILLISECONDS = 25;

/**
 * Measures how long the event loop is blocked while an answer is awaited, by how late
 * timers run. An answer that arrives during a block is not read until the block ends.
 *
 * @example
 * ```ts
 * const lag = new LoopLag(() => performance.now());
 * lag.start(250);
 * const answer = await call();
 * lag.stop();
 * log(lag.blockedMilliseconds);
 * ```
 */
export class LoopLag {
  private timer: NodeJS.Timeout | undefined;
  private dueAt = 0;
  private blocked = 0;
  private intervalsLeft = 0;

  /** @param now Monotonic clock, milliseconds. */
  constructor(private readonly now: () => number) {}

  /**
   * Starts a new measurement from zero.
   *
   * @param milliseconds Unblocked time after which the measurement ends by itself.
   */
  start(milliseconds: number): void {
    this.stop();
    this.blocked = 0;
    this.intervalsLeft = Math.ceil(milliseconds / INTERVAL_MILLISECONDS);
    this.startInterval();
  }

  /** Ends the measurement and keeps its result. */
  stop(): void {
    this.blocked = this.blockedMilliseconds;
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  /** Blocked time of the current or last measurement, milliseconds. */
  get blockedMilliseconds(): number {
    const overdue = this.timer === undefined ? 0 : this.now() - this.dueAt;
    return this.blocked + Math.max(0, overdue);
  }

  private startInterval(): void {
    if (this.intervalsLeft === 0) {
      return;
    }
    this.intervalsLeft--;
    this.dueAt = this.now() + INTERVAL_MILLISECONDS;
    this.timer = setTimeout(() => {
      this.stop();
      this.startInterval();
    }, INTERVAL_MILLISECONDS);
    this.timer.unref();
  }
}

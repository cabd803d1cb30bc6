/** Recent activity of a process's event loop. */
export interface EventLoopReading {
  /** Duration of the last measured turn, without idle time, milliseconds. */
  readonly turnMilliseconds: number;
  /** How long the loop has been busy without a pause, milliseconds. */
  readonly busyMilliseconds: number;
}

/**
 * After an idle time of at least this, the loop had no pending work left,
 * milliseconds.
 */
const MINIMUM_PAUSE_MILLISECONDS = 2;
/**
 * Turns from reading a request until it starts: a connection close that follows
 * it has been read by then.
 */
const TURNS_PER_REQUEST = 3;

/**
 * Measures event loop turns while requests arrive, and never keeps an idle loop
 * awake.
 *
 * A busy loop polls its sockets once per turn: a request that arrives in
 * between waits unread, and no time that the process records itself shows that
 * wait.
 *
 * @example
 * ```ts
 * const monitor = new EventLoopMonitor(
 *   () => performance.now(),
 *   () => performance.nodeTiming.idleTime,
 *   milliseconds => metrics.observeLoopTurn(milliseconds),
 * );
 * server.on('request', () => log(monitor.requestRead()));
 * ```
 */
export class EventLoopMonitor {
  private turnsToMeasure = 0;
  private isMeasuring = false;
  /**
   * Latest known poll of the sockets, on the monotonic clock in milliseconds.
   */
  private polledAt: number;
  private turnMilliseconds = 0;
  private idleAtPause: number;
  private busySince: number;

  /**
   * @param now Monotonic clock, milliseconds.
   * @param idle Total idle time of the loop since its start, milliseconds.
   * @param onTurn Called with the duration of each measured turn, milliseconds.
   */
  constructor(
    private readonly now: () => number,
    private readonly idle: () => number,
    private readonly onTurn: (milliseconds: number) => void,
  ) {
    this.polledAt = now();
    this.busySince = this.polledAt;
    this.idleAtPause = idle();
  }

  /** Current measurements. */
  get reading(): EventLoopReading {
    return {
      turnMilliseconds: this.turnMilliseconds,
      busyMilliseconds: this.now() - this.busySince,
    };
  }

  /** Records that a connection was accepted. */
  connectionAccepted(): void {
    this.recordPause(this.now());
    this.measureTurns(1);
  }

  /** Records that work was scheduled for the next turn. */
  workScheduled(): void {
    this.recordPause(this.now());
    this.measureTurns(2);
  }

  /**
   * Records that a request was read.
   *
   * @returns Estimated time that the request waited in the process's sockets,
   *     milliseconds.
   */
  requestRead(): number {
    const now = this.now();
    this.recordPause(now);
    const wait = this.estimatedWait(now);
    this.measureTurns(TURNS_PER_REQUEST);
    return wait;
  }

  private estimatedWait(now: number): number {
    if (this.busySince > this.polledAt) {
      return now - this.busySince;
    }
    // The request arrived between the last two polls of the sockets.
    return now - this.polledAt + this.turnMilliseconds / 2;
  }

  private measureTurns(turns: number): void {
    this.turnsToMeasure = Math.max(this.turnsToMeasure, turns);
    if (!this.isMeasuring) {
      this.isMeasuring = true;
      this.polledAt = this.now();
      this.scheduleTurnEnd();
    }
  }

  private scheduleTurnEnd(): void {
    setImmediate(() => {
      this.turnEnded();
    });
  }

  private turnEnded(): void {
    const now = this.now();
    this.recordPause(now);
    this.turnMilliseconds = now - Math.max(this.polledAt, this.busySince);
    this.onTurn(this.turnMilliseconds);
    this.polledAt = now;
    this.turnsToMeasure--;
    this.isMeasuring = this.turnsToMeasure > 0;
    if (this.isMeasuring) {
      this.scheduleTurnEnd();
    }
  }

  /**
   * Restarts the busy time after a pause: an idle loop polls its sockets
   * continuously, so nothing waits in them.
   */
  private recordPause(now: number): void {
    const idle = this.idle();
    if (idle - this.idleAtPause >= MINIMUM_PAUSE_MILLISECONDS) {
      this.idleAtPause = idle;
      this.busySince = now;
    }
  }
}

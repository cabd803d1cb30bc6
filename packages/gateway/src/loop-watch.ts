/** What the event loop of a process did lately. */
export interface LoopReading {
  /** Length of the last turn that was watched, without idle time, milliseconds. */
  readonly turnMilliseconds: number;
  /** The loop has been at work without a pause for so long, milliseconds. */
  readonly busyMilliseconds: number;
}

/** A loop that waited for so long had worked off all that it knew of, milliseconds. */
const PAUSE_MILLISECONDS = 2;
/** A request begins this many turns after it was read: a close behind it shows by then. */
const WATCHED_TURNS = 3;

/**
 * Watches the event loop while requests come, and never keeps an idle one awake.
 *
 * A busy loop looks at its sockets once a turn: what comes meanwhile waits unseen, and
 * no time that the process takes itself tells of it.
 *
 * @example
 * ```ts
 * const watch = new LoopWatch(
 *   () => performance.now(),
 *   () => performance.nodeTiming.idleTime,
 *   milliseconds => metrics.turn(milliseconds),
 * );
 * server.on('request', () => log(watch.requested()));
 * ```
 */
export class LoopWatch {
  private turnsToWatch = 0;
  private isWatching = false;
  /** When the sockets were looked at, as far as it is known. */
  private lookedAt: number;
  private turnMilliseconds = 0;
  private idleAtPause: number;
  private busyFrom: number;

  /**
   * @param now Monotonic clock, milliseconds.
   * @param idle How long the loop has waited for events since its start, milliseconds.
   * @param onTurn Takes the length of each turn that is watched, milliseconds.
   */
  constructor(
    private readonly now: () => number,
    private readonly idle: () => number,
    private readonly onTurn: (milliseconds: number) => void,
  ) {
    this.lookedAt = now();
    this.busyFrom = this.lookedAt;
    this.idleAtPause = idle();
  }

  /** What is known at this moment. */
  get reading(): LoopReading {
    return {
      turnMilliseconds: this.turnMilliseconds,
      busyMilliseconds: this.now() - this.busyFrom,
    };
  }

  /** A connection was accepted. */
  connected(): void {
    this.notePause(this.now());
    this.watch(1);
  }

  /** Something is to be done in the next turn. */
  working(): void {
    this.notePause(this.now());
    this.watch(2);
  }

  /**
   * A request was read.
   *
   * @returns How long it is likely to have waited in the process's sockets, milliseconds.
   */
  requested(): number {
    const now = this.now();
    this.notePause(now);
    const wait = this.likelyWait(now);
    this.watch(WATCHED_TURNS);
    return wait;
  }

  private likelyWait(now: number): number {
    if (this.busyFrom > this.lookedAt) {
      return now - this.busyFrom;
    }
    // It came somewhere between the last two looks at the sockets.
    return now - this.lookedAt + this.turnMilliseconds / 2;
  }

  private watch(turns: number): void {
    this.turnsToWatch = Math.max(this.turnsToWatch, turns);
    if (!this.isWatching) {
      this.isWatching = true;
      this.lookedAt = this.now();
      this.endTurnLater();
    }
  }

  private endTurnLater(): void {
    setImmediate(() => {
      this.turnEnded();
    });
  }

  private turnEnded(): void {
    const now = this.now();
    this.notePause(now);
    this.turnMilliseconds = now - Math.max(this.lookedAt, this.busyFrom);
    this.onTurn(this.turnMilliseconds);
    this.lookedAt = now;
    this.turnsToWatch--;
    this.isWatching = this.turnsToWatch > 0;
    if (this.isWatching) {
      this.endTurnLater();
    }
  }

  /** After a pause nothing waits: the loop has looked at its sockets until now. */
  private notePause(now: number): void {
    const idle = this.idle();
    if (idle - this.idleAtPause >= PAUSE_MILLISECONDS) {
      this.idleAtPause = idle;
      this.busyFrom = now;
    }
  }
}

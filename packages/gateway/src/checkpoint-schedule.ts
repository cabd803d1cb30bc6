/**
 * Number of records after which the holder whose turn it is writes a checkpoint. A
 * process that has just started folds all records since the last checkpoint, and its
 * callers wait for its first grant meanwhile.
 */
const CHECKPOINT_RECORDS = 1_000;
/**
 * Time after a start within which a checkpoint contains the records of processes that ran
 * before. These may be nearly as old as the oldest record that the store keeps.
 */
const START_MILLISECONDS = 500;
/**
 * Part of the time by which the last holder writes later than the first. The others find
 * the first one's checkpoint then.
 */
const SPREAD_PART = 0.5;
/** Maximum time between two holders in turn after a start or after dropped records. */
const START_SPACING_MILLISECONDS = 50;

/** What a process knows of the log and its checkpoints. */
export interface CheckpointState {
  /** Monotonic time, milliseconds. */
  readonly now: number;
  /** The next offset that this process folds. */
  readonly nextOffset: number;
  /** Oldest offset that the store keeps. */
  readonly firstOffset: number;
  /** Offset of the newest known checkpoint. */
  readonly checkpointOffset: number;
  /** All holders by incarnation, in the order of the fold. */
  readonly holders: ReadonlyMap<string, unknown>;
  /** This process. */
  readonly incarnation: string;
}

/** Which checkpoints a holder has to write. */
export interface CheckpointDue {
  /** A checkpoint is due at this offset or later; undefined if no records are too old. */
  readonly oldOffset: number | undefined;
  /** Whether it is this holder's turn after a number of records. */
  readonly isTurn: boolean;
}

/** Decides when a holder writes checkpoints. */
export class CheckpointSchedule {
  /** Offset after the last record that is not about a checkpoint. */
  private contentEnd = 0;
  /** The records before `offset` need a checkpoint at `at`. */
  private deadline: {readonly offset: number; readonly at: number} | undefined;
  private isStarting = true;
  private turn = 0;

  /** @param maximumMilliseconds Time within which a checkpoint contains a record. */
  constructor(private readonly maximumMilliseconds: number) {}

  /** Notes a record at this offset that a checkpoint must contain. */
  recordFolded(offset: number): void {
    this.contentEnd = Math.max(this.contentEnd, offset + 1);
  }

  /**
   * Decides which checkpoints are due.
   *
   * @example
   * ```ts
   * const {oldOffset, isTurn} = schedule.due(state);
   * ```
   */
  due(state: CheckpointState): CheckpointDue {
    const isTurn = this.isTurn(state);
    return {oldOffset: this.oldOffset(state), isTurn};
  }

  private oldOffset(state: CheckpointState): number | undefined {
    const {now, nextOffset, checkpointOffset, holders, incarnation} = state;
    const rank = Math.max(0, [...holders.keys()].indexOf(incarnation));
    if (state.firstOffset > checkpointOffset) {
      const delay = Math.min(
        START_MILLISECONDS,
        START_SPACING_MILLISECONDS * rank,
      );
      if (this.deadline === undefined || this.deadline.at > now + delay) {
        this.deadline = {offset: nextOffset, at: now + delay};
      }
    }
    if (
      this.deadline !== undefined &&
      checkpointOffset >= this.deadline.offset
    ) {
      this.deadline = undefined;
    }
    if (this.deadline === undefined) {
      if (checkpointOffset < this.contentEnd) {
        const at = now + this.delayMilliseconds(rank, holders.size);
        this.deadline = {offset: nextOffset, at};
        this.isStarting = false;
      }
      return undefined;
    }
    return now >= this.deadline.at ? this.deadline.offset : undefined;
  }

  private delayMilliseconds(rank: number, holders: number): number {
    const maximum = this.maximumMilliseconds;
    const spread = (SPREAD_PART * maximum * rank) / Math.max(1, holders);
    return this.isStarting
      ? Math.min(START_MILLISECONDS, maximum) +
          Math.min(START_SPACING_MILLISECONDS * rank, spread)
      : maximum + spread;
  }

  /**
   * Holders take turns by offset; the turn of a holder that has failed is skipped.
   *
   * @returns Whether a new turn has begun that belongs to this incarnation.
   */
  private isTurn({
    now,
    nextOffset,
    holders,
    incarnation,
  }: CheckpointState): boolean {
    const turn = Math.floor(nextOffset / CHECKPOINT_RECORDS);
    if (turn === this.turn) {
      return false;
    }
    this.turn = turn;
    const isOwn = [...holders.keys()][turn % holders.size] === incarnation;
    if (!isOwn && this.deadline !== undefined) {
      // The holder whose turn it is writes a checkpoint now.
      const at = Math.max(this.deadline.at, now + START_MILLISECONDS);
      this.deadline = {...this.deadline, at};
    }
    return isOwn;
  }
}

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

/** What a process knows of the log and its checkpoints. */
export interface CheckpointState {
  /** Monotonic time, milliseconds. */
  readonly now: number;
  /** The next offset that this process folds. */
  readonly nextOffset: number;
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
  private delayMilliseconds: number;
  private turn = 0;

  /** @param maximumMilliseconds Time within which a checkpoint contains a record. */
  constructor(private readonly maximumMilliseconds: number) {
    this.delayMilliseconds = Math.min(START_MILLISECONDS, maximumMilliseconds);
  }

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
    return {oldOffset: this.oldOffset(state), isTurn: this.isTurn(state)};
  }

  private oldOffset({
    now,
    nextOffset,
    checkpointOffset,
    holders,
    incarnation,
  }: CheckpointState): number | undefined {
    if (
      this.deadline !== undefined &&
      checkpointOffset >= this.deadline.offset
    ) {
      this.deadline = undefined;
    }
    if (this.deadline === undefined) {
      if (checkpointOffset < this.contentEnd) {
        const rank = Math.max(0, [...holders.keys()].indexOf(incarnation));
        const part = rank / Math.max(1, holders.size);
        const delay = this.delayMilliseconds * (1 + SPREAD_PART * part);
        this.deadline = {offset: nextOffset, at: now + delay};
        this.delayMilliseconds = this.maximumMilliseconds;
      }
      return undefined;
    }
    return now >= this.deadline.at ? this.deadline.offset : undefined;
  }

  /**
   * Holders take turns by offset; the turn of a holder that has failed is skipped.
   *
   * @returns Whether a new turn has begun that belongs to this incarnation.
   */
  private isTurn({nextOffset, holders, incarnation}: CheckpointState): boolean {
    const turn = Math.floor(nextOffset / CHECKPOINT_RECORDS);
    if (turn === this.turn) {
      return false;
    }
    this.turn = turn;
    return [...holders.keys()][turn % holders.size] === incarnation;
  }
}

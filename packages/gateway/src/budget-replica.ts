import {
  BudgetFold,
  checkpointOf,
  foldFrom,
  type FoldOutcome,
} from '@wisteriadeal/budgets';
import {
  RecordsDroppedError,
  type Clock,
  type PartitionedLog,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {BudgetRecord} from '@wisteriadeal/schema';

import {
  decodeCheckpoint,
  decodeRecord,
  encodeCheckpoint,
} from './budget-codec.js';
import {
  BUDGET_PARTITION,
  CHECKPOINT_KEY,
  CHECKPOINT_PARTITION,
} from './budget-topics.js';

/**
 * A checkpoint is written after so many records, by the holder whose turn it is.
 * Without one, a process that has just started folds all records since the last, and
 * its callers wait for its first grant meanwhile.
 */
const CHECKPOINT_RECORDS = 1_000;

/** This process's copy of the fold, and how it keeps up with the log. */
export class BudgetReplica {
  private folded = new BudgetFold();
  private isLoaded = false;
  private checkpointAt = 0;
  private checkpointTime: number;
  private turn = 0;
  /** What folded records say to processes, until a read to the end has returned it. */
  private untold: FoldOutcome[] = [];

  /**
   * @param checkpointMilliseconds A checkpoint is written when the newest is
   *     older, long before the platform drops what leads to it.
   */
  constructor(
    private readonly log: PartitionedLog,
    private readonly clock: Clock,
    private readonly checkpointMilliseconds: number,
    private readonly events: EventLog,
  ) {
    this.checkpointTime = clock.monotonicMilliseconds();
  }

  /** The fold as far as this process has read. */
  get fold(): BudgetFold {
    return this.folded;
  }

  /**
   * Reads to the end of the log as it is now. What was read before a call that fails
   * is returned by the next.
   *
   * @returns What the records say to processes, in their order.
   * @throws StepError where the store gave no usable answer.
   */
  async catchUp(): Promise<readonly FoldOutcome[]> {
    if (!this.isLoaded) {
      await this.load();
    }
    try {
      return await this.readOn();
    } catch (error) {
      if (!(error instanceof RecordsDroppedError)) {
        throw error;
      }
      await this.load();
      return this.readOn();
    }
  }

  /** Folds records that this process knows to stand at the next offsets. */
  takeOwn(records: readonly BudgetRecord[]): readonly FoldOutcome[] {
    this.foldAll(records);
    return this.takeUntold();
  }

  /**
   * Writes a checkpoint where the newest one known is getting old, or it is this
   * holder's turn.
   */
  async checkpointIfDue(incarnation: string): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    const isOld = now - this.checkpointTime >= this.checkpointMilliseconds;
    const isTurn = this.isNewTurnOf(incarnation);
    if ((!isOld && !isTurn) || this.folded.nextOffset === this.checkpointAt) {
      return;
    }
    const offset = this.folded.nextOffset;
    await this.log.put(
      CHECKPOINT_PARTITION,
      CHECKPOINT_KEY,
      encodeCheckpoint(checkpointOf(this.folded)),
    );
    this.checkpointAt = offset;
    this.checkpointTime = now;
    this.events.info('budget checkpoint written', {offset});
  }

  /** Holders take turns by the log's offset; a dead one's turn is passed over. */
  private isNewTurnOf(incarnation: string): boolean {
    const turn = Math.floor(this.folded.nextOffset / CHECKPOINT_RECORDS);
    if (turn === this.turn) {
      return false;
    }
    this.turn = turn;
    const holders = [...this.folded.holders.keys()];
    return holders[turn % holders.length] === incarnation;
  }

  private async load(): Promise<void> {
    const newest = await this.log.newest(CHECKPOINT_PARTITION);
    const bytes = newest.items.find(({key}) => key === CHECKPOINT_KEY)?.value;
    const checkpoint =
      bytes === undefined ? undefined : decodeCheckpoint(bytes);
    if (
      checkpoint !== undefined &&
      checkpoint.offset > this.folded.nextOffset
    ) {
      this.folded = foldFrom(checkpoint);
      this.checkpointAt = checkpoint.offset;
      this.events.info('budget checkpoint read', {offset: checkpoint.offset});
    }
    this.isLoaded = true;
  }

  private async readOn(): Promise<readonly FoldOutcome[]> {
    for (;;) {
      const range = await this.log.read(
        BUDGET_PARTITION,
        this.folded.nextOffset,
        0,
      );
      this.foldAll(range.records.map(decodeRecord));
      if (this.folded.nextOffset >= range.end || range.records.length === 0) {
        return this.takeUntold();
      }
    }
  }

  private foldAll(records: readonly (BudgetRecord | undefined)[]): void {
    for (const record of records) {
      const outcome = this.folded.apply(record);
      if (outcome !== undefined) {
        this.untold.push(outcome);
      }
    }
  }

  private takeUntold(): readonly FoldOutcome[] {
    const outcomes = this.untold;
    this.untold = [];
    return outcomes;
  }
}

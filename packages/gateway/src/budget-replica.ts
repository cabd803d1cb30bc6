import {
  BudgetFold,
  createCheckpoint,
  foldFromCheckpoint,
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
 * Number of records after which the holder whose turn it is writes a checkpoint. A
 * process that has just started folds all records since the last checkpoint, and its
 * callers wait for its first grant meanwhile.
 */
const CHECKPOINT_RECORDS = 1_000;
/** Maximum number of checkpoints that a stopping process writes. */
const MAXIMUM_END_CHECKPOINTS = 3;

/** This process's copy of the fold, which it updates from the log. */
export class BudgetReplica {
  private currentFold = new BudgetFold();
  private isLoaded = false;
  private checkpointOffset = 0;
  private checkpointWrittenAt: number;
  private checkpointTurn = 0;
  /** Outcomes of folded records that no read to the end of the log has returned yet. */
  private unreportedOutcomes: FoldOutcome[] = [];

  /**
   * @param checkpointMilliseconds Maximum age of the newest checkpoint. It is much less
   *     than the time after which the platform drops records.
   */
  constructor(
    private readonly log: PartitionedLog,
    private readonly clock: Clock,
    private readonly checkpointMilliseconds: number,
    private readonly events: EventLog,
  ) {
    this.checkpointWrittenAt = clock.monotonicMilliseconds();
  }

  /** The fold up to the last record that this process has read. */
  get fold(): BudgetFold {
    return this.currentFold;
  }

  /**
   * Reads to the current end of the log. Outcomes read before a failed call are returned
   * by the next one.
   *
   * @returns Outcomes of the records, in log order.
   * @throws StepError if the store gave no usable answer.
   */
  async catchUp(): Promise<readonly FoldOutcome[]> {
    if (!this.isLoaded) {
      await this.loadCheckpoint();
    }
    try {
      return await this.readToEnd();
    } catch (error) {
      if (!(error instanceof RecordsDroppedError)) {
        throw error;
      }
      await this.loadCheckpoint();
      return this.readToEnd();
    }
  }

  /** Applies this process's own records, which the log has placed at the next offsets. */
  applyOwn(records: readonly BudgetRecord[]): readonly FoldOutcome[] {
    this.applyAll(records);
    return this.takeUnreportedOutcomes();
  }

  /**
   * Writes a checkpoint if the newest known one is too old or it is this holder's turn.
   */
  async checkpointIfDue(incarnation: string): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    const isOld = now - this.checkpointWrittenAt >= this.checkpointMilliseconds;
    const isTurn = this.advanceCheckpointTurn(incarnation);
    if (
      (!isOld && !isTurn) ||
      this.currentFold.nextOffset === this.checkpointOffset
    ) {
      return;
    }
    await this.writeCheckpoint();
  }

  /**
   * Writes a checkpoint of the log's end. All holders may be stopping at once, and one of
   * them may overwrite a newer checkpoint: each reads the log again after its own.
   *
   * @throws StepError if the store gave no usable answer.
   */
  async checkpointEnd(): Promise<void> {
    for (let write = 0; write < MAXIMUM_END_CHECKPOINTS; write++) {
      if (this.currentFold.nextOffset === this.checkpointOffset) {
        return;
      }
      await this.writeCheckpoint();
      await this.catchUp();
    }
  }

  private async writeCheckpoint(): Promise<void> {
    const offset = this.currentFold.nextOffset;
    const writtenAt = this.clock.monotonicMilliseconds();
    await this.log.put(
      CHECKPOINT_PARTITION,
      CHECKPOINT_KEY,
      encodeCheckpoint(createCheckpoint(this.currentFold)),
    );
    this.checkpointOffset = offset;
    this.checkpointWrittenAt = writtenAt;
    this.events.info('budget checkpoint written', {offset});
  }

  /**
   * Advances to the turn of the current offset. Holders take turns by offset; the turn of
   * a holder that has failed is skipped.
   *
   * @returns Whether a new turn has begun that belongs to this incarnation.
   */
  private advanceCheckpointTurn(incarnation: string): boolean {
    const turn = Math.floor(this.currentFold.nextOffset / CHECKPOINT_RECORDS);
    if (turn === this.checkpointTurn) {
      return false;
    }
    this.checkpointTurn = turn;
    const holders = [...this.currentFold.holders.keys()];
    return holders[turn % holders.length] === incarnation;
  }

  private async loadCheckpoint(): Promise<void> {
    const newest = await this.log.newest(CHECKPOINT_PARTITION);
    const bytes = newest.items.find(({key}) => key === CHECKPOINT_KEY)?.value;
    const checkpoint =
      bytes === undefined ? undefined : decodeCheckpoint(bytes);
    if (bytes !== undefined && checkpoint === undefined) {
      this.events.warn('budget checkpoint ignored', {
        reason: 'not a checkpoint',
      });
    }
    if (
      checkpoint !== undefined &&
      checkpoint.offset > this.currentFold.nextOffset
    ) {
      this.currentFold = foldFromCheckpoint(checkpoint);
      this.checkpointOffset = checkpoint.offset;
      this.events.info('budget checkpoint read', {offset: checkpoint.offset});
    }
    this.isLoaded = true;
  }

  private async readToEnd(): Promise<readonly FoldOutcome[]> {
    for (;;) {
      const range = await this.log.read(
        BUDGET_PARTITION,
        this.currentFold.nextOffset,
        0,
      );
      this.applyAll(range.records.map(decodeRecord));
      if (
        this.currentFold.nextOffset >= range.end ||
        range.records.length === 0
      ) {
        return this.takeUnreportedOutcomes();
      }
    }
  }

  private applyAll(records: readonly (BudgetRecord | undefined)[]): void {
    for (const record of records) {
      const outcome = this.currentFold.apply(record);
      if (outcome !== undefined) {
        this.unreportedOutcomes.push(outcome);
      }
    }
  }

  private takeUnreportedOutcomes(): readonly FoldOutcome[] {
    const outcomes = this.unreportedOutcomes;
    this.unreportedOutcomes = [];
    return outcomes;
  }
}

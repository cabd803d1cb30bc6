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

/** This process's copy of the fold, and how it keeps up with the log. */
export class BudgetReplica {
  private folded = new BudgetFold();
  private isLoaded = false;
  private checkpointAt = 0;
  private checkpointTime: number;

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
   * Reads to the end of the log as it is now.
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
    return this.foldAll(records);
  }

  /** Writes a checkpoint where the newest one known is getting old. */
  async checkpointIfDue(): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    if (
      now - this.checkpointTime < this.checkpointMilliseconds ||
      this.folded.nextOffset === this.checkpointAt
    ) {
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
    const outcomes: FoldOutcome[] = [];
    for (;;) {
      const range = await this.log.read(
        BUDGET_PARTITION,
        this.folded.nextOffset,
        0,
      );
      outcomes.push(...this.foldAll(range.records.map(decodeRecord)));
      if (this.folded.nextOffset >= range.end || range.records.length === 0) {
        return outcomes;
      }
    }
  }

  private foldAll(
    records: readonly (BudgetRecord | undefined)[],
  ): FoldOutcome[] {
    return records
      .map(record => this.folded.apply(record))
      .filter(outcome => outcome !== undefined);
  }
}

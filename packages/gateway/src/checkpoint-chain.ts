import {
  createCheckpoint,
  type BudgetFold,
  type TokenLimits,
} from '@wisteriadeal/budgets';
import {PartitionEndError, type PartitionedLog} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {BudgetCheckpoint, UncoveredLimit} from '@wisteriadeal/schema';

import {decodeCheckpoint, encodeCheckpoint} from './budget-codec.js';
import {CHECKPOINT_KEY, CHECKPOINT_PARTITION} from './budget-topics.js';

/** Which checkpoint is the newest one. */
export interface CheckpointPosition {
  /** The next offset of the budget log to fold; 0 if there is no checkpoint. */
  readonly offset: number;
  /** End of the checkpoints' partition after it was written. */
  readonly end: number;
  /** 0 if its writer did not limit the use of grants that no checkpoint contains. */
  readonly generation: number;
}

/**
 * The checkpoints in the store. A checkpoint is written only if its writer knows the one
 * before it, so that none replaces a newer one, also when a write is delayed.
 */
export class CheckpointChain {
  private newest: CheckpointPosition = {offset: 0, end: 0, generation: 0};
  private newestLimits: TokenLimits = new Map();
  private isUnreadable = false;

  constructor(
    private readonly log: PartitionedLog,
    private readonly events: EventLog,
  ) {}

  /** The newest checkpoint that this process knows. */
  get position(): CheckpointPosition {
    return this.newest;
  }

  /** Its limits of uncovered grants. */
  get limits(): TokenLimits {
    return this.newestLimits;
  }

  /** Whether the newest checkpoint was read and is not one. */
  get hasUnreadable(): boolean {
    return this.isUnreadable;
  }

  /**
   * Reads the newest checkpoint.
   *
   * @returns Undefined if there is none or if it cannot be read.
   * @throws StepError if the store gave no usable answer.
   */
  async read(): Promise<BudgetCheckpoint | undefined> {
    const {items, resumeOffset} = await this.log.newest(CHECKPOINT_PARTITION);
    const bytes = items.find(({key}) => key === CHECKPOINT_KEY)?.value;
    const checkpoint =
      bytes === undefined ? undefined : decodeCheckpoint(bytes);
    if (resumeOffset < this.newest.end) {
      // Another call has read or written a newer one meanwhile.
      return checkpoint;
    }
    this.isUnreadable = bytes !== undefined && checkpoint === undefined;
    if (this.isUnreadable) {
      this.events.warn('budget checkpoint ignored', {
        reason: 'not a checkpoint',
      });
    }
    this.newest = {
      offset: checkpoint?.offset ?? 0,
      end: resumeOffset,
      generation: checkpoint?.generation ?? 0,
    };
    this.newestLimits = toLimits(checkpoint?.limits ?? []);
    return checkpoint;
  }

  /**
   * Writes a checkpoint of a fold.
   *
   * @returns False if another checkpoint was written meanwhile.
   * @throws StepError whose fate says whether the checkpoint may be in the store.
   */
  async write(
    fold: BudgetFold,
    generation: number,
    limits: TokenLimits,
  ): Promise<boolean> {
    const checkpoint = createCheckpoint(fold, generation, limits);
    const {offset} = checkpoint;
    let writtenAt: number;
    try {
      writtenAt = await this.log.put(
        CHECKPOINT_PARTITION,
        CHECKPOINT_KEY,
        encodeCheckpoint(checkpoint),
        this.newest.end,
      );
    } catch (error) {
      if (error instanceof PartitionEndError) {
        return false;
      }
      throw error;
    }
    this.isUnreadable = false;
    this.announced({offset, end: writtenAt + 1, generation}, limits);
    this.events.info('budget checkpoint written', {offset, generation});
    return true;
  }

  /** Applies the announcement of a checkpoint by its writer. */
  announced(position: CheckpointPosition, limits: TokenLimits): void {
    if (position.end > this.newest.end) {
      this.newest = position;
      this.newestLimits = limits;
    }
  }
}

/** Decodes the limits of a checkpoint. */
export function toLimits(limits: readonly UncoveredLimit[]): TokenLimits {
  return new Map(
    limits.map(({organisation, tokens}) => [organisation, tokens]),
  );
}

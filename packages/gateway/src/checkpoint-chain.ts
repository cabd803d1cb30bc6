import {create} from '@bufbuild/protobuf';
import {
  createCheckpoint,
  toGrantCeilings,
  type BudgetFold,
  type TokenLimits,
} from '@wisteriadeal/budgets';
import {
  PartitionEndError,
  RecordsDroppedError,
  type KeyedRecord,
  type PartitionedLog,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {
  GrantCeilingsSchema,
  type BudgetCheckpoint,
  type GrantCeiling,
  type GrantCeilings,
} from '@wisteriadeal/schema';

import {
  decodeCeilings,
  decodeCheckpoint,
  encodeCeilings,
  encodeCheckpoint,
} from './budget-codec.js';
import {
  CEILINGS_KEY,
  CHECKPOINT_KEY,
  CHECKPOINT_PARTITION,
} from './budget-topics.js';

/** Which checkpoint is the newest one. */
export interface CheckpointPosition {
  /** The next offset of the budget log to fold; 0 if there is no checkpoint. */
  readonly offset: number;
  /** End of the checkpoints' partition, as far as this process has read it. */
  readonly end: number;
  /** 0 if the checkpoint's writer used grants without a ceiling. */
  readonly generation: number;
}

/**
 * The checkpoints and the ceilings of grants in the store. Each is written only if its
 * writer knows the one before it, so that none replaces a newer one, also when a write
 * is delayed. Ceilings are much smaller than checkpoints and are raised more often.
 */
export class CheckpointChain {
  private newest: CheckpointPosition = {offset: 0, end: 0, generation: 0};
  private newestCeilings: TokenLimits = new Map();
  private isUnreadable = false;

  constructor(
    private readonly log: PartitionedLog,
    private readonly events: EventLog,
  ) {}

  /** The newest checkpoint that this process knows. */
  get position(): CheckpointPosition {
    return this.newest;
  }

  /** The newest ceilings that this process knows. */
  get ceilings(): TokenLimits {
    return this.newestCeilings;
  }

  /** Whether the newest checkpoint was read and is not one. */
  get hasUnreadable(): boolean {
    return this.isUnreadable;
  }

  /**
   * Reads the newest checkpoint and ceilings.
   *
   * @returns Undefined if there is no checkpoint or if it cannot be read.
   * @throws StepError if the store gave no usable answer.
   */
  async read(): Promise<BudgetCheckpoint | undefined> {
    const {items, resumeOffset} = await this.log.newest(CHECKPOINT_PARTITION);
    const records = [...items].sort((one, other) => one.offset - other.offset);
    if (resumeOffset >= this.newest.end) {
      this.newest = {offset: 0, end: resumeOffset, generation: 0};
      this.isUnreadable = false;
      records.forEach(record => {
        this.apply(record);
      });
    }
    const bytes = records.find(({key}) => key === CHECKPOINT_KEY)?.value;
    return bytes === undefined ? undefined : decodeCheckpoint(bytes);
  }

  /**
   * Reads the records after those that this process knows.
   *
   * @throws StepError if the store gave no usable answer.
   */
  async refresh(): Promise<void> {
    const {end: from} = this.newest;
    try {
      const {records} = await this.log.read(CHECKPOINT_PARTITION, from, 0);
      records.forEach((bytes, index) => {
        const offset = from + index;
        if (offset === this.newest.end) {
          const record = this.log.keyedRecord(offset, bytes);
          this.newest = {...this.newest, end: offset + 1};
          if (record !== undefined) {
            this.apply(record);
          }
        }
      });
    } catch (error) {
      if (!(error instanceof RecordsDroppedError)) {
        throw error;
      }
      await this.read();
    }
  }

  /**
   * Writes a checkpoint of a fold.
   *
   * @returns False if another record was written meanwhile.
   * @throws StepError whose fate says whether the checkpoint may be in the store.
   */
  async write(
    fold: BudgetFold,
    generation: number,
    ceilings: TokenLimits,
  ): Promise<boolean> {
    const checkpoint = createCheckpoint(fold, generation, ceilings);
    const {offset} = checkpoint;
    const bytes = encodeCheckpoint(checkpoint);
    const end = await this.put(CHECKPOINT_KEY, bytes);
    if (end === undefined) {
      return false;
    }
    this.isUnreadable = false;
    this.announced({offset, end, generation}, ceilings);
    this.events.info('budget checkpoint written', {offset, generation});
    return true;
  }

  /**
   * Writes ceilings.
   *
   * @returns False if another record was written meanwhile.
   * @throws StepError whose fate says whether the ceilings may be in the store.
   */
  async writeCeilings(
    generation: number,
    ceilings: TokenLimits,
  ): Promise<boolean> {
    const {offset} = this.newest;
    const message = create(GrantCeilingsSchema, {
      generation,
      ceilings: toGrantCeilings(ceilings),
    });
    const end = await this.put(CEILINGS_KEY, encodeCeilings(message));
    if (end === undefined) {
      return false;
    }
    this.announced({offset, end, generation}, ceilings);
    return true;
  }

  /** Applies the announcement of a checkpoint or of ceilings by its writer. */
  announced(position: CheckpointPosition, ceilings: TokenLimits): void {
    if (position.end > this.newest.end) {
      this.newest = position;
      this.newestCeilings = ceilings;
    }
  }

  /** Returns the end of the partition afterwards; undefined if nothing was written. */
  private async put(
    key: string,
    value: Uint8Array,
  ): Promise<number | undefined> {
    const {end} = this.newest;
    try {
      return 1 + (await this.log.put(CHECKPOINT_PARTITION, key, value, end));
    } catch (error) {
      if (error instanceof PartitionEndError) {
        return undefined;
      }
      throw error;
    }
  }

  private apply({key, value}: KeyedRecord): void {
    if (key === CHECKPOINT_KEY) {
      this.applyCheckpoint(value);
    } else if (key === CEILINGS_KEY) {
      const stored = value === undefined ? undefined : decodeCeilings(value);
      this.applyCeilings(stored);
    }
  }

  private applyCheckpoint(bytes: Uint8Array | undefined): void {
    const checkpoint =
      bytes === undefined ? undefined : decodeCheckpoint(bytes);
    this.isUnreadable = bytes !== undefined && checkpoint === undefined;
    if (this.isUnreadable) {
      this.events.warn('budget checkpoint ignored', {
        reason: 'not a checkpoint',
      });
    }
    const {offset = 0, generation = 0} = checkpoint ?? {};
    this.newest = {...this.newest, offset, generation};
    this.applyCeilings(checkpoint);
  }

  /** Checkpoints of generation 0 have no ceilings; those before them still hold. */
  private applyCeilings(stored: BudgetCheckpoint | GrantCeilings | undefined) {
    if (stored !== undefined && stored.generation > 0) {
      this.newestCeilings = toTokenLimits(stored.ceilings);
    }
  }
}

/** Decodes the ceilings of a message. */
export function toTokenLimits(ceilings: readonly GrantCeiling[]): TokenLimits {
  return new Map(
    ceilings.map(({organisation, tokens}) => [organisation, tokens]),
  );
}

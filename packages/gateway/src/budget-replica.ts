import {create} from '@bufbuild/protobuf';
import {
  BudgetFold,
  foldAfterDrop,
  foldFromCheckpoint,
  UncoveredGrants,
  type FoldOutcome,
} from '@wisteriadeal/budgets';
import {
  Fate,
  RecordsDroppedError,
  StepError,
  type Clock,
  type PartitionedLog,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {
  CheckpointWrittenSchema,
  type BudgetRecord,
  type CheckpointWritten,
} from '@wisteriadeal/schema';

import {decodeRecord} from './budget-codec.js';
import {BUDGET_PARTITION, CHECKPOINT_PARTITION} from './budget-topics.js';
import {CheckpointChain, toLimits} from './checkpoint-chain.js';
import {CheckpointSchedule} from './checkpoint-schedule.js';

/** Maximum number of attempts to write a checkpoint while other holders write theirs. */
const MAXIMUM_WRITE_ATTEMPTS = 5;
/** Pause after a failure before a due checkpoint is written again. */
const RETRY_MILLISECONDS = 1_000;
/** Maximum number of checkpoints that a stopping process writes. */
const MAXIMUM_END_CHECKPOINTS = 3;
/** Generation of the first checkpoint. */
const FIRST_GENERATION = 1;

/**
 * This process's copy of the fold, which it updates from the log.
 *
 * A grant is used only if a checkpoint in the store contains it, or if all grants after
 * the newest checkpoint are within the limit that it states. If the store drops records
 * that no checkpoint contains, the process that meets the gap charges that limit, and
 * continues the fold with a checkpoint of the next generation. Processes that have folded
 * the dropped records take it over.
 */
export class BudgetReplica {
  private currentFold = new BudgetFold();
  private isLoaded = false;
  /** Generation of the checkpoint from which the fold continues. */
  private generation = 0;
  private readonly chain: CheckpointChain;
  private readonly uncovered = new UncoveredGrants();
  private readonly schedule: CheckpointSchedule;
  private isNearLimit = false;
  /** Whether the first grant of an organisation would have to wait for a checkpoint. */
  private lacksLimits = false;
  /** Budgets of this process's configuration, in tokens by organisation. */
  private readonly prepaid = new Map<string, number>();
  /** The checkpoint work beside the exchanges. */
  private background: Promise<void> | undefined;
  /** Monotonic time before which failed checkpoint work is not repeated, milliseconds. */
  private retryAt = -Infinity;
  /** A checkpoint of this process that no record announces yet. */
  private hasUnannounced = false;
  /** Outcomes of folded records that `takeOutcomes` has not returned yet. */
  private unreportedOutcomes: FoldOutcome[] = [];

  /**
   * @param checkpointMilliseconds Time within which a checkpoint contains a record. It is
   *     much less than the time after which the platform drops records.
   */
  constructor(
    private readonly log: PartitionedLog,
    private readonly clock: Clock,
    checkpointMilliseconds: number,
    private readonly events: EventLog,
  ) {
    this.chain = new CheckpointChain(log, events);
    this.schedule = new CheckpointSchedule(checkpointMilliseconds);
  }

  /** The fold up to the last record that this process has read. */
  get fold(): BudgetFold {
    return this.currentFold;
  }

  /**
   * Reads to the current end of the log.
   *
   * @throws StepError if the store gave no usable answer.
   * @throws RecordsDroppedError if the store dropped records, and its newest checkpoint
   *     cannot be read.
   */
  async catchUp(): Promise<void> {
    if (!this.isLoaded) {
      await this.loadNewest();
    }
    try {
      await this.readToEnd();
    } catch (error) {
      if (!(error instanceof RecordsDroppedError)) {
        throw error;
      }
      await this.loadNewest();
      await this.readPastDropped();
    }
  }

  /** Applies this process's own records, which the log has placed at the next offsets. */
  applyOwn(records: readonly BudgetRecord[]): void {
    this.applyAll(records);
  }

  /** Sets an organisation's budget in this process's configuration, in tokens. */
  setPrepaid(organisation: string, prepaid: number): void {
    this.prepaid.set(organisation, prepaid);
    this.lacksLimits ||= !this.chain.limits.has(organisation);
  }

  /** Organisations whose grants `takeOutcomes` returns only after a checkpoint. */
  organisationsToCover(incarnation: string): readonly string[] {
    return this.grantedOrganisations(incarnation).filter(
      organisation => !this.uncovered.mayUse(organisation),
    );
  }

  /**
   * Returns the outcomes of the records that were read since the last call. If they grant
   * more than may be used after the newest checkpoint, it writes a checkpoint first.
   *
   * @param incarnation The process whose outcomes are returned.
   * @returns Outcomes in log order. If the call fails, the next one returns them.
   * @throws StepError if the store gave no usable answer.
   * @example
   * ```ts
   * await replica.catchUp();
   * const outcomes = await replica.takeOutcomes(incarnation);
   * ```
   */
  async takeOutcomes(incarnation: string): Promise<readonly FoldOutcome[]> {
    if (this.organisationsToCover(incarnation).length > 0) {
      await this.background;
      if (!this.isLoaded) {
        await this.loadNewest();
      }
      await this.cover(
        () => this.organisationsToCover(incarnation).length === 0,
      );
      if (!this.isLoaded) {
        await this.loadNewest();
      }
      if (this.organisationsToCover(incarnation).length > 0) {
        throw checkpointError('another one is newer');
      }
    }
    this.isNearLimit ||= this.grantedOrganisations(incarnation).some(
      organisation => this.uncovered.isNearLimit(organisation),
    );
    const outcomes = this.unreportedOutcomes.filter(
      outcome => outcome.incarnation === incarnation,
    );
    this.unreportedOutcomes = [];
    return outcomes;
  }

  /** Returns the record that announces a checkpoint of this process, once. */
  takeAnnouncement(): CheckpointWritten | undefined {
    if (!this.hasUnannounced) {
      return undefined;
    }
    this.hasUnannounced = false;
    const {position, limits} = this.chain;
    return create(CheckpointWrittenSchema, {
      ...position,
      limits: [...limits].map(([organisation, tokens]) => ({
        organisation,
        tokens,
      })),
    });
  }

  /**
   * Starts to write a checkpoint if records are too old without one, if it is this
   * holder's turn, or if grants may soon have to wait for it. Exchanges go on meanwhile.
   */
  checkpointIfDue(incarnation: string): void {
    if (this.clock.monotonicMilliseconds() < this.retryAt) {
      return;
    }
    this.background ??= this.writeDueCheckpoint(incarnation)
      .catch((error: unknown) => {
        this.retryAt = this.clock.monotonicMilliseconds() + RETRY_MILLISECONDS;
        this.events.warn('budget checkpoint not written', {
          reason: String(error),
        });
      })
      .finally(() => {
        this.background = undefined;
      });
  }

  private async writeDueCheckpoint(incarnation: string): Promise<void> {
    const {nextOffset, holders} = this.currentFold;
    const due = this.schedule.due({
      now: this.clock.monotonicMilliseconds(),
      nextOffset,
      checkpointOffset: this.chain.position.offset,
      holders,
      incarnation,
    });
    if (due.oldOffset !== undefined || this.lacksLimits) {
      // Another holder may have written a checkpoint that no record announces yet.
      await this.refresh();
    }
    const isWanted = due.isTurn || this.isNearLimit || this.lacksLimits;
    const offset = isWanted ? nextOffset : due.oldOffset;
    this.isNearLimit = false;
    if (offset !== undefined) {
      await this.cover(
        () => this.chain.position.offset >= offset && !this.lacksLimits,
      );
    }
  }

  /**
   * Writes a checkpoint of the log's end. All holders may be stopping at once: each reads
   * the log again after its own.
   *
   * @throws StepError if the store gave no usable answer.
   */
  async checkpointEnd(): Promise<void> {
    for (let write = 0; write < MAXIMUM_END_CHECKPOINTS; write++) {
      const {nextOffset} = this.currentFold;
      if (nextOffset <= this.chain.position.offset) {
        return;
      }
      await this.background;
      await this.cover(() => this.chain.position.offset >= nextOffset);
      await this.catchUp();
    }
  }

  /** Writes a checkpoint unless others write a sufficient one. */
  private async cover(isSufficient: () => boolean): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
      if (!this.isLoaded || isSufficient() || (await this.writeCheckpoint())) {
        return;
      }
      await this.refresh();
    }
    throw checkpointError('other holders write checkpoints');
  }

  /** Returns whether it has written one, or the newest one is ahead of this fold. */
  private async writeCheckpoint(): Promise<boolean> {
    this.applyNewest();
    if (
      !this.isLoaded ||
      this.chain.position.offset > this.currentFold.nextOffset
    ) {
      return true;
    }
    const generation = Math.max(FIRST_GENERATION, this.generation);
    const {currentFold} = this;
    const isWritten = await this.chain.write(
      currentFold,
      generation,
      this.uncovered.nextLimits(currentFold, this.prepaid),
    );
    if (isWritten) {
      this.generation = Math.max(this.generation, generation);
      this.hasUnannounced = true;
      this.applyChain();
    }
    return isWritten;
  }

  /** Continues from the newest checkpoint if it is ahead or of a later generation. */
  private async loadNewest(): Promise<void> {
    const checkpoint = await this.chain.read();
    if (
      checkpoint !== undefined &&
      (this.isLater(checkpoint.generation) ||
        checkpoint.offset > this.currentFold.nextOffset)
    ) {
      this.generation = Math.max(this.generation, checkpoint.generation);
      this.replaceFold(foldFromCheckpoint(checkpoint));
    }
    this.isLoaded = true;
    this.applyNewest();
  }

  /** Reads which checkpoint is the newest one; `catchUp` loads a later generation. */
  private async refresh(): Promise<void> {
    await this.chain.read();
    this.applyNewest();
  }

  private applyNewest(): void {
    const {generation} = this.chain.position;
    if (this.isLater(generation)) {
      this.isLoaded = false;
      return;
    }
    this.generation = Math.max(this.generation, generation);
    this.applyChain();
  }

  private isLater(generation: number): boolean {
    return generation > Math.max(FIRST_GENERATION, this.generation);
  }

  private applyChain(): void {
    const {position, limits} = this.chain;
    this.uncovered.cover(position.offset, limits);
    this.lacksLimits = [...this.prepaid.keys()].some(name => !limits.has(name));
  }

  /**
   * Continues from another state. Grants of the state before are not reported any more:
   * they may be beyond the limit that was charged for them.
   */
  private replaceFold(fold: BudgetFold): void {
    this.currentFold = fold;
    this.uncovered.clear();
    this.unreportedOutcomes = this.unreportedOutcomes.filter(
      ({kind}) => kind !== 'grant',
    );
    this.events.info('budget checkpoint read', {offset: fold.nextOffset});
  }

  private async readToEnd(): Promise<void> {
    for (;;) {
      const range = await this.log.read(
        BUDGET_PARTITION,
        this.currentFold.nextOffset,
        0,
      );
      this.applyAll(range.records.map(decodeRecord));
      if (!this.isLoaded) {
        await this.loadNewest();
        continue;
      }
      if (
        this.currentFold.nextOffset >= range.end ||
        range.records.length === 0
      ) {
        return;
      }
    }
  }

  private async readPastDropped(): Promise<void> {
    try {
      await this.readToEnd();
    } catch (error) {
      if (!(error instanceof RecordsDroppedError) || this.chain.hasUnreadable) {
        throw error;
      }
      await this.skipDropped(error);
      if (!this.isLoaded) {
        await this.loadNewest();
      }
      await this.readToEnd();
    }
  }

  private async skipDropped({first}: RecordsDroppedError): Promise<void> {
    const {end} = await this.log.read(BUDGET_PARTITION, first, 0);
    this.applyNewest();
    const {position, limits} = this.chain;
    if (position.offset > this.currentFold.nextOffset) {
      this.isLoaded = false;
    }
    if (!this.isLoaded) {
      return;
    }
    const isUnlimited = position.generation === 0 && position.offset > 0;
    const resumed = foldAfterDrop(
      this.currentFold,
      isUnlimited ? undefined : limits,
      end,
    );
    const generation = Math.max(FIRST_GENERATION, position.generation) + 1;
    const resumedLimits = new UncoveredGrants().nextLimits(
      resumed,
      this.prepaid,
    );
    if (!(await this.chain.write(resumed, generation, resumedLimits))) {
      this.isLoaded = false;
      return;
    }
    this.events.warn('budget records dropped', {
      from: this.currentFold.nextOffset,
      to: end,
      generation,
      isUnlimited,
    });
    this.generation = generation;
    this.replaceFold(resumed);
    this.applyChain();
  }

  private applyAll(records: readonly (BudgetRecord | undefined)[]): void {
    for (const record of records) {
      const offset = this.currentFold.nextOffset;
      const outcome = this.currentFold.apply(record);
      if (record?.change.case === 'checkpointWritten') {
        this.applyAnnouncement(record.change.value);
      } else {
        this.schedule.recordFolded(offset);
      }
      if (outcome === undefined) {
        continue;
      }
      this.unreportedOutcomes.push(outcome);
      if (outcome.kind === 'grant' && outcome.granted > 0) {
        this.uncovered.add(outcome, offset);
      }
    }
  }

  private grantedOrganisations(incarnation: string): readonly string[] {
    return this.unreportedOutcomes.flatMap(outcome =>
      outcome.kind === 'grant' &&
      outcome.granted > 0 &&
      outcome.incarnation === incarnation
        ? [outcome.organisation]
        : [],
    );
  }

  private applyAnnouncement(written: CheckpointWritten): void {
    const {offset, end, generation, limits} = written;
    if (this.isLater(generation)) {
      // The next read starts from the checkpoint.
      this.isLoaded = false;
      return;
    }
    if (generation === Math.max(FIRST_GENERATION, this.generation)) {
      this.chain.announced({offset, end, generation}, toLimits(limits));
      this.applyChain();
    }
  }
}

function checkpointError(reason: string): StepError {
  const {topic} = CHECKPOINT_PARTITION;
  return new StepError('write checkpoint', topic, Fate.NotDone, reason);
}

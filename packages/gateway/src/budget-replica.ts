import {create} from '@bufbuild/protobuf';
import {
  BudgetFold,
  foldAfterDrop,
  foldFromCheckpoint,
  GrantCeilings,
  toGrantCeilings,
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
import {CeilingSchedule} from './ceiling-schedule.js';
import {CheckpointChain, toTokenLimits} from './checkpoint-chain.js';
import {CheckpointSchedule} from './checkpoint-schedule.js';

/** Maximum number of attempts to write while other holders write. */
const MAXIMUM_WRITE_ATTEMPTS = 5;
/** Pause after a failure before due checkpoints and ceilings are written again. */
const RETRY_MILLISECONDS = 200;
/** Maximum number of checkpoints that a stopping process writes. */
const MAXIMUM_END_CHECKPOINTS = 3;
/**
 * Time after dropped records were met within which holders that have folded them write a
 * checkpoint. Up to 140 hosts read the log every 0.7 s, and write at the exchange after
 * the one that tells them; where the store is slow, that may be too late.
 */
const GAP_MILLISECONDS = 1_500;
/** Generation of the first checkpoint. */
const FIRST_GENERATION = 1;

/**
 * This process's copy of the fold, which it updates from the log.
 *
 * A grant is used only within the ceilings in the store. If the store drops records that
 * no checkpoint contains, the process that meets the gap charges the ceilings, and
 * continues the fold with a checkpoint of the next generation. Processes that have folded
 * the dropped records take it over.
 */
export class BudgetReplica {
  private currentFold = new BudgetFold();
  private isLoaded = false;
  /** Generation of the checkpoint from which the fold continues. */
  private generation = 0;
  private readonly chain: CheckpointChain;
  private readonly ceilings = new GrantCeilings();
  private readonly schedule: CheckpointSchedule;
  private readonly ceilingSchedule = new CeilingSchedule();
  /** Organisations whose next grants may have to wait for a higher ceiling. */
  private readonly nearCeilings = new Set<string>();
  /** Budgets of this process's configuration, in tokens by organisation. */
  private readonly prepaid = new Map<string, number>();
  /** The writes beside the exchanges. */
  private background: Promise<void> | undefined;
  /** Monotonic time before which failed writes are not repeated, milliseconds. */
  private retryAt = -Infinity;
  /** Monotonic time at which dropped records were met, milliseconds. */
  private gapSince: number | undefined;
  /** Oldest offset of the log that the store keeps, as of the last read. */
  private firstOffset = 0;
  /** Whether no record announces the last write of this process yet. */
  private hasUnannounced = false;
  /** Outcomes of folded records that `takeOutcomes` has not returned yet. */
  private unreportedOutcomes: FoldOutcome[] = [];
  /** Grants among them that may be used although more was allocated afterwards. */
  private readonly usableGrants = new Set<FoldOutcome>();

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
   *     cannot be read, or a holder that has folded them may still write one.
   */
  async catchUp(): Promise<void> {
    if (!this.isLoaded) {
      await this.loadNewest();
    }
    try {
      await this.readToEnd();
    } catch (error) {
      if (!(error instanceof RecordsDroppedError)) {
        // Other holders may not reach the store either.
        this.gapSince = undefined;
        throw error;
      }
      await this.loadNewest();
      await this.readPastDropped();
    }
    this.gapSince = undefined;
  }

  /** Applies this process's own records, which the log has placed at the next offsets. */
  applyOwn(records: readonly BudgetRecord[]): void {
    this.applyAll(records);
  }

  /** Sets an organisation's budget in this process's configuration, in tokens. */
  setPrepaid(organisation: string, prepaid: number): void {
    this.prepaid.set(organisation, prepaid);
    this.noteIfNear(organisation, undefined);
  }

  /** Whether all budgets of the configuration, if there is one, have a ceiling. */
  get hasCeilings(): boolean {
    const budgets = [...this.prepaid].filter(([, prepaid]) => prepaid > 0);
    return (
      budgets.length > 0 && budgets.every(([name]) => this.ceilings.has(name))
    );
  }

  /** Organisations whose grants `takeOutcomes` returns only below a higher ceiling. */
  withheldOrganisations(incarnation: string): readonly string[] {
    return this.unreportedOutcomes
      .filter(outcome => outcome.incarnation === incarnation)
      .filter(outcome => !this.mayReport(outcome))
      .flatMap(outcome =>
        outcome.kind === 'grant' ? [outcome.organisation] : [],
      );
  }

  /**
   * Returns the outcomes of the records that were read since the last call, but grants
   * beyond a ceiling: a later call returns these.
   *
   * @param incarnation The process whose outcomes are returned.
   * @returns Outcomes in log order.
   * @example
   * ```ts
   * await replica.catchUp();
   * const outcomes = replica.takeOutcomes(incarnation);
   * ```
   */
  takeOutcomes(incarnation: string): readonly FoldOutcome[] {
    const own = this.unreportedOutcomes.filter(
      outcome => outcome.incarnation === incarnation,
    );
    const outcomes = own.filter(outcome => this.mayReport(outcome));
    this.unreportedOutcomes = own.filter(outcome => !this.mayReport(outcome));
    this.usableGrants.clear();
    return outcomes;
  }

  /** Returns the record that announces the last write of this process, once. */
  takeAnnouncement(): CheckpointWritten | undefined {
    if (!this.hasUnannounced) {
      return undefined;
    }
    this.hasUnannounced = false;
    return create(CheckpointWrittenSchema, {
      ...this.chain.position,
      generation: this.currentGeneration,
      ceilings: toGrantCeilings(this.chain.ceilings),
    });
  }

  /**
   * Starts to write a checkpoint or higher ceilings if they are due. Exchanges go on
   * meanwhile.
   *
   * @param onWritten Called after a write that grants of this process waited for.
   */
  writeIfDue(incarnation: string, onWritten: () => void): void {
    if (this.clock.monotonicMilliseconds() < this.retryAt) {
      return;
    }
    this.background ??= this.writeDue(incarnation, onWritten)
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

  private async writeDue(
    incarnation: string,
    onWritten: () => void,
  ): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    const {nextOffset, holders} = this.currentFold;
    const isWaiting = this.withheldOrganisations(incarnation).length > 0;
    const state = {now, holders, incarnation, isWaiting};
    if (this.ceilingSchedule.isDue(state)) {
      await this.raiseCeilings(this.ceilingSchedule.isFirst(state));
      if (isWaiting) {
        onWritten();
      }
    }
    const due = this.schedule.due({
      now,
      nextOffset,
      firstOffset: this.firstOffset,
      checkpointOffset: this.chain.position.offset,
      holders,
      incarnation,
    });
    if (due.oldOffset !== undefined) {
      // Another holder may have written a checkpoint that no record announces yet.
      await this.refresh();
    }
    const offset = due.isTurn ? nextOffset : due.oldOffset;
    if (offset !== undefined) {
      await this.writeCheckpoint(() => this.chain.position.offset >= offset);
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
      await this.writeCheckpoint(
        () => this.chain.position.offset >= nextOffset,
      );
      await this.catchUp();
    }
  }

  /** @param isFirst Whether other holders write only if this one does not. */
  private async raiseCeilings(isFirst: boolean): Promise<void> {
    if (!isFirst) {
      await this.refresh();
    }
    await this.write(
      () => !this.ceilingSchedule.isPending,
      () =>
        this.chain.writeCeilings(this.currentGeneration, this.raisedCeilings()),
    );
  }

  /** Writes a checkpoint unless another holder writes a sufficient one. */
  private writeCheckpoint(isSufficient: () => boolean): Promise<void> {
    return this.write(
      () =>
        isSufficient() ||
        this.chain.position.offset > this.currentFold.nextOffset,
      () =>
        this.chain.write(
          this.currentFold,
          this.currentGeneration,
          this.raisedCeilings(),
        ),
    );
  }

  private async write(
    isSufficient: () => boolean,
    write: () => Promise<boolean>,
  ): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
      if (!this.isLoaded || isSufficient()) {
        return;
      }
      if (await write()) {
        this.hasUnannounced = true;
        this.applyNewest();
        return;
      }
      await this.refresh();
    }
    const {topic} = CHECKPOINT_PARTITION;
    const reason = 'other holders write';
    throw new StepError('write checkpoint', topic, Fate.NotDone, reason);
  }

  private raisedCeilings() {
    return this.ceilings.raised(this.currentFold, this.prepaid);
  }

  /** Generation of what this process writes. */
  private get currentGeneration(): number {
    return Math.max(FIRST_GENERATION, this.generation);
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
    await this.chain.refresh();
    this.applyNewest();
  }

  private applyNewest(): void {
    const {generation} = this.chain.position;
    if (this.isLater(generation)) {
      this.isLoaded = false;
      return;
    }
    this.generation = Math.max(this.generation, generation);
    this.applyCeilings();
  }

  private isLater(generation: number): boolean {
    return generation > this.currentGeneration;
  }

  private applyCeilings(): void {
    this.ceilings.replace(this.chain.ceilings);
    for (const organisation of this.nearCeilings) {
      if (!this.isNear(organisation)) {
        this.nearCeilings.delete(organisation);
      }
    }
    const now = this.clock.monotonicMilliseconds();
    this.ceilingSchedule.raised(this.nearCeilings.size === 0, now);
  }

  private noteIfNear(
    organisation: string,
    incarnation: string | undefined,
  ): void {
    if (this.isNear(organisation)) {
      this.nearCeilings.add(organisation);
      const now = this.clock.monotonicMilliseconds();
      this.ceilingSchedule.cameNear(incarnation, now);
    }
  }

  private isNear(organisation: string): boolean {
    const prepaid = this.prepaid.get(organisation) ?? 0;
    return this.ceilings.isNear(this.currentFold, organisation, prepaid);
  }

  /**
   * Continues from another state. Grants of the state before are not reported any more:
   * they may be beyond the ceilings that were charged for them.
   */
  private replaceFold(fold: BudgetFold): void {
    this.currentFold = fold;
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
      this.firstOffset = range.first;
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
      const now = this.clock.monotonicMilliseconds();
      this.gapSince ??= now;
      if (now < this.gapSince + GAP_MILLISECONDS) {
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
    const {position, ceilings} = this.chain;
    if (position.offset > this.currentFold.nextOffset) {
      this.isLoaded = false;
    }
    if (!this.isLoaded) {
      return;
    }
    const isUnlimited = position.generation === 0 && position.offset > 0;
    const resumed = foldAfterDrop(
      this.currentFold,
      isUnlimited ? undefined : ceilings,
      end,
    );
    const generation = Math.max(FIRST_GENERATION, position.generation) + 1;
    const resumedCeilings = this.ceilings.raised(resumed, this.prepaid);
    if (!(await this.chain.write(resumed, generation, resumedCeilings))) {
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
    this.applyCeilings();
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
        const {organisation, incarnation} = outcome;
        if (this.ceilings.mayUse(this.currentFold, organisation)) {
          this.usableGrants.add(outcome);
        }
        this.noteIfNear(organisation, incarnation);
      }
    }
  }

  private mayReport(outcome: FoldOutcome): boolean {
    return (
      outcome.kind !== 'grant' ||
      outcome.granted === 0 ||
      this.usableGrants.has(outcome) ||
      this.ceilings.mayUse(this.currentFold, outcome.organisation)
    );
  }

  private applyAnnouncement(written: CheckpointWritten): void {
    const {offset, end, generation, ceilings} = written;
    if (this.isLater(generation)) {
      // The next read starts from the checkpoint.
      this.isLoaded = false;
      return;
    }
    if (
      generation === this.currentGeneration &&
      end > this.chain.position.end
    ) {
      const position = {offset, end, generation};
      this.chain.announced(position, toTokenLimits(ceilings));
      this.applyCeilings();
    }
  }
}

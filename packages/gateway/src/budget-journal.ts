import {Fate, StepError, type PartitionedLog} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {BudgetRecord} from '@wisteriadeal/schema';

import {budgetRecord, encodeRecord, type BudgetChange} from './budget-codec.js';
import type {BudgetReplica} from './budget-replica.js';
import {BUDGET_PARTITION} from './budget-topics.js';

/** Identity of this process among the holders. */
export interface HolderIdentity {
  /** Identifies the host and the address that only one process listens on. */
  readonly host: string;
  /** `IP:port` where other holders reach this process. */
  readonly peerAddress: string;
  readonly dataCenter: string;
  /** Empty if there is only one region. */
  readonly region: string;
  /** Generates an identifier that was never used before. */
  newIncarnation(): string;
}

/**
 * Writes this process's records to the log in order and retries each until it is there.
 * After an append whose answer was lost, it reads the log first and repeats the append
 * only for missing records. The fold applies each record once.
 */
export class BudgetJournal {
  private currentIncarnation: string;
  private sequence = 0;
  private pending: BudgetRecord[] = [];

  constructor(
    private readonly identity: HolderIdentity,
    private readonly replica: BudgetReplica,
    private readonly log: PartitionedLog,
    private readonly events: EventLog,
  ) {
    this.currentIncarnation = identity.newIncarnation();
    this.addOpening();
  }

  /** The identifier of this process in the fold. */
  get incarnation(): string {
    return this.currentIncarnation;
  }

  /** Whether the fold accepts this process's records. */
  get isOpen(): boolean {
    return this.replica.fold.isOpen(this.currentIncarnation);
  }

  /**
   * Whether the fold ignores this process's records: it has closed this process, or its
   * opening is among records that the store dropped.
   */
  get isFenced(): boolean {
    const isOpening = this.pending.some(({change}) => change.case === 'opened');
    return (
      this.replica.fold.closedIncarnations.has(this.currentIncarnation) ||
      (!this.isOpen && !isOpening)
    );
  }

  /** Whether records are waiting to be written. */
  get hasPending(): boolean {
    return this.pending.length > 0;
  }

  /**
   * Tokens of an organisation that the log attributes to this process once the pending
   * records are folded. Borrowed tokens are part of it after the lender's record.
   */
  recordedTokens(organisation: string): number {
    const holder = this.replica.fold.holders.get(this.currentIncarnation);
    let tokens = holder?.grants.get(organisation)?.outstanding ?? 0;
    for (const {change} of this.pending) {
      if (
        (change.case === 'returned' || change.case === 'lent') &&
        change.value.organisation === organisation
      ) {
        tokens -= change.value.amount;
      }
    }
    return Math.max(0, tokens);
  }

  /** Adds a record for the next exchange. */
  add(change: BudgetChange): void {
    this.sequence++;
    this.pending.push(
      budgetRecord(this.currentIncarnation, this.sequence, change),
    );
  }

  /**
   * Starts a new incarnation after the fold has closed this one: another process opened
   * on this host, or a delayed duplicate of an older opening was folded. The grants of
   * the closed incarnation are charged already, and its pending records have no effect.
   */
  reopen(): void {
    this.events.warn('budget holder fenced', {
      incarnation: this.currentIncarnation,
    });
    this.currentIncarnation = this.identity.newIncarnation();
    this.sequence = 0;
    this.pending = [];
    this.addOpening();
  }

  /**
   * Writes the pending records and reads new ones. The replica returns their outcomes.
   *
   * @throws StepError if the store gave no usable answer.
   */
  async exchange(): Promise<void> {
    this.announceCheckpoint();
    const batch = [...this.pending];
    const offset =
      batch.length === 0 ? undefined : await this.appendBatch(batch);
    if (offset !== undefined && offset === this.replica.fold.nextOffset) {
      this.replica.applyOwn(batch);
    } else {
      await this.replica.catchUp();
    }
    this.removeFolded();
  }

  private announceCheckpoint(): void {
    const value = this.isOpen ? this.replica.takeAnnouncement() : undefined;
    if (value !== undefined) {
      this.add({case: 'checkpointWritten', value});
    }
  }

  private addOpening(): void {
    const {host, peerAddress, dataCenter, region} = this.identity;
    this.add({
      case: 'opened',
      value: {
        $typeName: 'wisteriadeal.v1.HolderOpened',
        host,
        address: peerAddress,
        dataCenter,
        region,
      },
    });
  }

  private async appendBatch(
    batch: readonly BudgetRecord[],
  ): Promise<number | undefined> {
    try {
      return await this.log.append(BUDGET_PARTITION, batch.map(encodeRecord));
    } catch (error) {
      if (error instanceof StepError && error.fate === Fate.Unknown) {
        this.events.warn('budget append unanswered', {
          records: batch.length,
          reason: error.reason,
        });
        return undefined;
      }
      throw error;
    }
  }

  private removeFolded(): void {
    const holder = this.replica.fold.holders.get(this.currentIncarnation);
    const last = holder?.lastSequence ?? 0;
    this.pending = this.pending.filter(({sequence}) => sequence > last);
  }
}

import type {FoldOutcome} from '@wisteriadeal/budgets';
import {Fate, StepError, type PartitionedLog} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {BudgetRecord} from '@wisteriadeal/schema';

import {budgetRecord, encodeRecord, type BudgetChange} from './budget-codec.js';
import type {BudgetReplica} from './budget-replica.js';
import {BUDGET_PARTITION} from './budget-topics.js';

/** How this process is known to the others. */
export interface HolderIdentity {
  /** Names the host and the address that one process listens on. */
  readonly host: string;
  /** Where other holders ask for loans. */
  readonly peerAddress: string;
  /** Gives an identifier that was never used. */
  newIncarnation(): string;
}

/**
 * Brings this process's records onto the log, in order and each until it stands
 * there. An append whose answer was lost is looked up first and made again where it
 * is missing: the fold takes each record once.
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

  /** Identifies this process in the fold. */
  get incarnation(): string {
    return this.currentIncarnation;
  }

  /** The fold knows this process and takes its records. */
  get isOpen(): boolean {
    return this.replica.fold.isOpen(this.currentIncarnation);
  }

  /** Records wait to be written. */
  get hasPending(): boolean {
    return this.pending.length > 0;
  }

  /** Adds a record for the next exchange. */
  add(change: BudgetChange): void {
    this.sequence++;
    this.pending.push(
      budgetRecord(this.currentIncarnation, this.sequence, change),
    );
  }

  /**
   * Takes a new incarnation: another process claims this host, or a late copy of
   * an old claim was folded. What was granted is charged already.
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
   * Writes what is pending and reads what has come.
   *
   * @returns What the log says to this process: verdicts, and loans to it.
   * @throws StepError where the store gave no usable answer.
   */
  async exchange(): Promise<readonly FoldOutcome[]> {
    const batch = [...this.pending];
    const offset =
      batch.length === 0 ? undefined : await this.appendBatch(batch);
    const outcomes =
      offset !== undefined && offset === this.replica.fold.nextOffset
        ? this.replica.applyOwn(batch)
        : await this.replica.catchUp();
    this.removeFolded();
    return outcomes.filter(
      ({incarnation}) => incarnation === this.currentIncarnation,
    );
  }

  private addOpening(): void {
    const {host, peerAddress} = this.identity;
    this.add({
      case: 'opened',
      value: {
        $typeName: 'wisteriadeal.v1.HolderOpened',
        host,
        address: peerAddress,
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

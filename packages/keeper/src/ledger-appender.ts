import {create, toBinary} from '@bufbuild/protobuf';
import {VerdictKind, type EntryVerdict} from '@wisteriadeal/ledger';
import type {Clock, LogClient} from '@wisteriadeal/platform';
import type {EventLog, Metrics} from '@wisteriadeal/runtime';
import {LedgerBatchSchema, type LedgerEntry} from '@wisteriadeal/schema';

import {LedgerListener, type FoldedEntry} from './ledger-replica.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {PlatformHealth} from './platform-health.js';
import {WakeUp} from './wake-up.js';

/** Entries of one record; about 100 KiB of bills. */
const BATCH_ENTRIES = 400;
/** Between tries while the platform does not answer. */
const RETRY_MILLISECONDS = 250;
/** An entry whose append was answered shows up well within this time. */
const RESEND_MILLISECONDS = 5_000;

/** How soon an entry has to be on the log. */
export enum Urgency {
  /** Something waits for the verdict. */
  Now,
  /** It may wait and share its record with others. */
  Batched,
}

/** The verdict on an own entry. */
export interface OwnVerdict {
  readonly verdict: EntryVerdict;
  /**
   * Records were skipped since the entry was first sent, so that a duplicate
   * may be the second copy of this very entry.
   */
  readonly uncertain: boolean;
}

interface PendingEntry {
  readonly entry: LedgerEntry;
  readonly verdict: Promise<OwnVerdict>;
  readonly resolve: (verdict: OwnVerdict) => void;
  readonly dueAt: number;
  sentAt: number | undefined;
  uncertain: boolean;
}

/**
 * Appends entries and resolves them by what is read back.
 *
 * The failure it meets: an append's answer is lost after the append took effect.
 * An entry stays pending until the fold shows its identifier, and is appended
 * again meanwhile; the fold ignores the second copy, so neither a lost answer
 * nor a repeat counts twice, and none is ever taken to have failed.
 */
export class LedgerAppender extends LedgerListener {
  private readonly pending = new Map<string, Map<string, PendingEntry>>();
  private readonly wakeUps = new Map<string, WakeUp>();

  constructor(
    private readonly writer: string,
    private readonly replicas: LedgerReplicas,
    private readonly log: LogClient,
    private readonly health: PlatformHealth,
    private readonly clock: Clock,
    private readonly batchMilliseconds: number,
    private readonly metrics: Metrics,
    private readonly eventLog: EventLog,
  ) {
    super();
    for (const {stream} of replicas.all) {
      this.pending.set(stream, new Map());
    }
    replicas.listen(this);
  }

  /** Entries whose verdict is not known. */
  get pendingEntries(): number {
    return [...this.pending.values()].reduce((sum, map) => sum + map.size, 0);
  }

  /**
   * Appends an entry; resolves once the fold showed it, however long the
   * platform is away. A second call with a pending identifier joins the first.
   */
  submit(entry: LedgerEntry, urgency = Urgency.Now): Promise<OwnVerdict> {
    const stream = this.replicas.streamOf(entry.organisation);
    const known = this.pending.get(stream)?.get(entry.entryId);
    if (known !== undefined) {
      return known.verdict;
    }
    const delay = urgency === Urgency.Now ? 0 : this.batchMilliseconds;
    let resolve: (verdict: OwnVerdict) => void = () => undefined;
    const verdict = new Promise<OwnVerdict>(resolvePromise => {
      resolve = resolvePromise;
    });
    this.pending.get(stream)?.set(entry.entryId, {
      entry,
      verdict,
      resolve,
      dueAt: this.clock.monotonicMilliseconds() + delay,
      sentAt: undefined,
      uncertain: false,
    });
    this.wakeUpOf(stream).wake();
    return verdict;
  }

  override folded({stream, writer, entry, verdict}: FoldedEntry): void {
    const pending = this.pending.get(stream)?.get(entry.entryId);
    if (pending === undefined || writer !== this.writer) {
      return;
    }
    this.pending.get(stream)?.delete(entry.entryId);
    pending.resolve({verdict, uncertain: pending.uncertain});
  }

  override restored(stream: string): void {
    for (const pending of this.pending.get(stream)?.values() ?? []) {
      pending.uncertain = pending.sentAt !== undefined;
      pending.sentAt = undefined;
    }
    this.wakeUpOf(stream).wake();
  }

  /** Appends what is due on one stream, one record at a time. */
  async run(stream: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const batch = this.dueEntries(stream);
      if (batch.length === 0) {
        await this.untilDue(stream, signal);
      } else {
        await this.append(stream, batch, signal);
      }
    }
  }

  private dueEntries(stream: string): readonly PendingEntry[] {
    const now = this.clock.monotonicMilliseconds();
    const unsent = [...(this.pending.get(stream)?.values() ?? [])].filter(
      pending => this.nextSendAt(pending) <= now,
    );
    return unsent.slice(0, BATCH_ENTRIES);
  }

  private nextSendAt(pending: PendingEntry): number {
    return pending.sentAt === undefined
      ? pending.dueAt
      : pending.sentAt + RESEND_MILLISECONDS;
  }

  private async untilDue(stream: string, signal: AbortSignal): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    const next = [...(this.pending.get(stream)?.values() ?? [])].reduce(
      (earliest, pending) => Math.min(earliest, this.nextSendAt(pending)),
      now + RESEND_MILLISECONDS,
    );
    await this.wakeUpOf(stream).sleep(Math.max(1, next - now), signal);
  }

  private wakeUpOf(stream: string): WakeUp {
    const known = this.wakeUps.get(stream);
    if (known !== undefined) {
      return known;
    }
    const wakeUp = new WakeUp(this.clock);
    this.wakeUps.set(stream, wakeUp);
    return wakeUp;
  }

  private async append(
    stream: string,
    batch: readonly PendingEntry[],
    signal: AbortSignal,
  ): Promise<void> {
    const payload = toBinary(
      LedgerBatchSchema,
      create(LedgerBatchSchema, {
        writer: this.writer,
        entries: batch.map(({entry}) => entry),
      }),
    );
    this.metrics.increment('keeper.appends');
    const sentAt = this.clock.monotonicMilliseconds();
    batch.forEach(pending => {
      pending.sentAt = sentAt;
    });
    try {
      await this.log.append(stream, payload, signal);
    } catch (error) {
      // A read may be held open for seconds; an append tells of an outage at
      // once, and whoever waits for tokens then asks peers in time.
      this.health.failed(stream);
      this.eventLog.debug('append failed', {stream, reason: String(error)});
      await this.clock.sleep(RETRY_MILLISECONDS, signal);
      // Whether it took effect or not, the same entries go out again unless the
      // fold has shown them by now.
      batch.forEach(pending => {
        pending.sentAt = undefined;
      });
    }
  }
}

/** Whether the entry itself, or an earlier copy of it, took effect. */
export function tookEffect({verdict, uncertain}: OwnVerdict): boolean {
  return (
    verdict.kind === VerdictKind.Accepted ||
    (verdict.kind === VerdictKind.Duplicate && uncertain)
  );
}

import {create, toBinary} from '@bufbuild/protobuf';
import {VerdictKind, type EntryVerdict} from '@wisteriadeal/ledger';
import type {Clock, LogClient} from '@wisteriadeal/platform';
import type {EventLog, Metrics} from '@wisteriadeal/runtime';
import {LedgerBatchSchema, type LedgerEntry} from '@wisteriadeal/schema';

import type {CopiedEntry, EntryCopies} from './entry-copies.js';
import {LedgerListener, type FoldedEntry} from './ledger-replica.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {PlatformHealth} from './platform-health.js';
import {InterruptibleSleep} from './interruptible-sleep.js';

/** Maximum number of entries per record; with bills, about 100 KiB. */
const MAXIMUM_BATCH_ENTRIES = 400;
/** Delay before the next append after a failed one. */
const RETRY_DELAY_MILLISECONDS = 250;
/**
 * Delay before an entry is appended again if the fold has not shown it. An
 * entry whose append was answered is normally folded well within this time.
 */
const RESEND_DELAY_MILLISECONDS = 5_000;

/**
 * Kinds of entries that peers keep. They record what has happened. The others
 * are requests of their writer, which would have no effect that anybody could
 * use if it were lost.
 */
const COPIED_KINDS: ReadonlySet<LedgerEntry['kind']['case']> = new Set([
  'bill',
  'transfer',
  'reclaim',
  'inheritedRelease',
]);

/** How soon an entry has to be appended. */
export enum Urgency {
  /** Append at once, since a request or a task waits for the verdict. */
  Immediate,
  /** Delay the entry, so that it shares a record with others. */
  Batched,
}

/** The verdict on an entry that this keeper has submitted. */
export interface SubmittedVerdict {
  readonly verdict: EntryVerdict;
  /**
   * Whether records were skipped after the entry was first sent. A `Duplicate`
   * verdict may then refer to the second copy of this entry.
   */
  readonly mayDuplicateItself: boolean;
}

interface PendingEntry extends CopiedEntry {
  /** Whether a peer has a copy; false if the entry was folded before. */
  readonly copied: Promise<boolean>;
  readonly verdict: Promise<SubmittedVerdict>;
  readonly resolve: (verdict: SubmittedVerdict) => void;
  readonly dueAt: number;
  sentAt: number | undefined;
  /** Whether it was sent at least once, even if that failed. */
  wasSent: boolean;
  mayDuplicateItself: boolean;
}

/**
 * Appends entries to the log and resolves them when they are read back.
 *
 * The answer to an append can be lost after the append took effect. An entry
 * therefore stays pending until the fold shows its identifier, and is appended
 * again until then. The fold ignores the second copy, so an entry never counts
 * twice, and an unanswered append is never treated as failed.
 */
export class LedgerAppender extends LedgerListener {
  private readonly pending = new Map<string, Map<string, PendingEntry>>();
  private readonly copyingStreams = new Set<string>();
  private readonly sleeps = new Map<string, InterruptibleSleep>();

  constructor(
    private readonly writer: string,
    private readonly replicas: LedgerReplicas,
    private readonly log: LogClient,
    private readonly health: PlatformHealth,
    private readonly clock: Clock,
    private readonly batchDelayMilliseconds: number,
    private readonly copies: EntryCopies,
    private readonly metrics: Metrics,
    private readonly eventLog: EventLog,
  ) {
    super();
    for (const {stream} of replicas.all) {
      this.pending.set(stream, new Map());
    }
    replicas.addListener(this);
  }

  /** Number of entries without a verdict. */
  get pendingEntries(): number {
    return [...this.pending.values()].reduce((sum, map) => sum + map.size, 0);
  }

  /**
   * Appends an entry and resolves with its verdict once it was folded. There is
   * no timeout: the entry stays pending during an outage of the platform. A
   * call with the identifier of a pending entry returns the promise of that
   * entry.
   */
  submit(
    entry: LedgerEntry,
    urgency = Urgency.Immediate,
  ): Promise<SubmittedVerdict> {
    const stream = this.replicas.streamOf(entry.organisation);
    const known = this.pending.get(stream)?.get(entry.entryId);
    if (known !== undefined) {
      return known.verdict;
    }
    const delay =
      urgency === Urgency.Immediate ? 0 : this.batchDelayMilliseconds;
    let resolve: (verdict: SubmittedVerdict) => void = () => undefined;
    const verdict = new Promise<SubmittedVerdict>(resolvePromise => {
      resolve = resolvePromise;
    });
    let onCopied: () => void = () => undefined;
    const firstCopy = new Promise<boolean>(resolveCopied => {
      onCopied = () => {
        resolveCopied(true);
      };
    });
    this.pending.get(stream)?.set(entry.entryId, {
      entry,
      copied: Promise.race([firstCopy, verdict.then(() => false)]),
      copiedTo: new Set(),
      onCopied,
      verdict,
      resolve,
      dueAt: this.clock.monotonicMilliseconds() + delay,
      sentAt: undefined,
      wasSent: false,
      mayDuplicateItself: false,
    });
    this.sleepOf(stream).wake();
    this.copyPending(stream);
    return verdict;
  }

  /**
   * Resolves with true once a peer has a copy of a pending entry, and with false
   * if the entry is not pending any more.
   */
  async whenCopied({organisation, entryId}: LedgerEntry): Promise<boolean> {
    const stream = this.replicas.streamOf(organisation);
    return this.pending.get(stream)?.get(entryId)?.copied ?? false;
  }

  /** Sends the pending entries of unreachable streams to peers. */
  review(): void {
    for (const stream of this.pending.keys()) {
      this.copyPending(stream);
    }
  }

  private copyPending(stream: string): void {
    const entries = [...(this.pending.get(stream)?.values() ?? [])].filter(
      ({entry}) => COPIED_KINDS.has(entry.kind.case),
    );
    if (
      entries.length === 0 ||
      this.health.isReachable(stream) ||
      this.copyingStreams.has(stream)
    ) {
      return;
    }
    this.copyingStreams.add(stream);
    void this.copies.send(stream, this.writer, entries).then(isComplete => {
      this.copyingStreams.delete(stream);
      if (!isComplete) {
        this.copyPending(stream);
      }
    });
  }

  override entryFolded({stream, writer, entry, verdict}: FoldedEntry): void {
    const pending = this.pending.get(stream)?.get(entry.entryId);
    if (pending === undefined || writer !== this.writer) {
      return;
    }
    this.pending.get(stream)?.delete(entry.entryId);
    pending.resolve({verdict, mayDuplicateItself: pending.mayDuplicateItself});
  }

  override checkpointRestored(stream: string): void {
    for (const pending of this.pending.get(stream)?.values() ?? []) {
      pending.mayDuplicateItself ||= pending.wasSent;
      pending.sentAt = undefined;
    }
    this.sleepOf(stream).wake();
  }

  /**
   * Appends the due entries of one stream until the signal is aborted, one
   * record at a time.
   */
  async run(stream: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const batch = this.dueEntries(stream);
      if (batch.length === 0) {
        await this.waitUntilDue(stream, signal);
      } else {
        await this.append(stream, batch, signal);
      }
    }
  }

  private dueEntries(stream: string): readonly PendingEntry[] {
    const now = this.clock.monotonicMilliseconds();
    const due = [...(this.pending.get(stream)?.values() ?? [])].filter(
      pending => this.nextSendAt(pending) <= now,
    );
    return due.slice(0, MAXIMUM_BATCH_ENTRIES);
  }

  private nextSendAt(pending: PendingEntry): number {
    return pending.sentAt === undefined
      ? pending.dueAt
      : pending.sentAt + RESEND_DELAY_MILLISECONDS;
  }

  private async waitUntilDue(
    stream: string,
    signal: AbortSignal,
  ): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    const next = [...(this.pending.get(stream)?.values() ?? [])].reduce(
      (earliest, pending) => Math.min(earliest, this.nextSendAt(pending)),
      now + RESEND_DELAY_MILLISECONDS,
    );
    await this.sleepOf(stream).sleep(Math.max(1, next - now), signal);
  }

  private sleepOf(stream: string): InterruptibleSleep {
    const known = this.sleeps.get(stream);
    if (known !== undefined) {
      return known;
    }
    const sleep = new InterruptibleSleep(this.clock);
    this.sleeps.set(stream, sleep);
    return sleep;
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
      pending.wasSent = true;
    });
    try {
      await this.log.append(stream, payload, signal);
    } catch (error) {
      // A read may stay open for seconds, while a failed append shows an outage
      // at once. Requests that wait for tokens can then be served by peers in
      // time.
      this.health.recordFailure(stream);
      this.eventLog.debug('append failed', {stream, reason: String(error)});
      await this.clock.sleep(RETRY_DELAY_MILLISECONDS, signal);
      // The append may or may not have taken effect. Entries that were not
      // folded by now are sent again in either case.
      batch.forEach(pending => {
        pending.sentAt = undefined;
      });
    }
  }
}

/** Whether the entry or an earlier copy of it took effect. */
export function tookEffect({
  verdict,
  mayDuplicateItself,
}: SubmittedVerdict): boolean {
  return (
    verdict.kind === VerdictKind.Accepted ||
    (verdict.kind === VerdictKind.Duplicate && mayDuplicateItself)
  );
}

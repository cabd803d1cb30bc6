import {create, toBinary} from '@bufbuild/protobuf';
import {Code, ConnectError} from '@connectrpc/connect';
import {IDENTIFIER_RETENTION_OFFSETS} from '@wisteriadeal/ledger';
import type {Clock, LogClient} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {
  KeepEntriesAnswerSchema,
  LedgerBatchSchema,
  type KeepEntriesAnswer,
  type KeepEntriesRequest,
  type LedgerEntry,
} from '@wisteriadeal/schema';

import type {CopiedEntry, EntryCopies} from './entry-copies.js';
import {LedgerListener, type FoldedEntry} from './ledger-replica.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {PlatformHealth} from './platform-health.js';

/** Maximum number of kept entries, which limits memory. */
const MAXIMUM_KEPT_ENTRIES = 50_000;
/** Maximum number of entries per record; with bills, about 100 KiB. */
const MAXIMUM_BATCH_ENTRIES = 400;
/** Delay before entries are appended again if the fold has not shown them. */
const RESEND_DELAY_MILLISECONDS = 5_000;

interface KeptEntry extends CopiedEntry {
  readonly writer: string;
  readonly stream: string;
  /** Offset up to which the stream was folded when the entry arrived. */
  readonly keptAtOffset: number;
  nextAppendAt: number;
}

/**
 * Entries of other keepers that they could not append themselves.
 *
 * They are appended in the name of their writers. The fold ignores the second
 * copy of an entry, so it does not matter whether a writer appends it too.
 */
export class KeptEntries extends LedgerListener {
  private readonly kept = new Map<string, KeptEntry>();
  private readonly appendingStreams = new Set<string>();

  constructor(
    private readonly replicas: LedgerReplicas,
    private readonly log: LogClient,
    private readonly health: PlatformHealth,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
  ) {
    super();
  }

  /** Number of kept entries that are not on the log yet. */
  get size(): number {
    return this.kept.size;
  }

  /** The kinds of the kept entries, in the order of their arrival. */
  get kinds(): readonly (string | undefined)[] {
    return [...this.kept.values()].map(({entry}) => entry.kind.case);
  }

  /**
   * Keeps the entries of a peer.
   *
   * @throws ConnectError if there are too many, so that the peer does not count
   *     on a copy.
   */
  keep({writer, stream, entries}: KeepEntriesRequest): KeepEntriesAnswer {
    if (this.kept.size + entries.length > MAXIMUM_KEPT_ENTRIES) {
      throw new ConnectError('too many entries', Code.ResourceExhausted);
    }
    for (const entry of entries) {
      if (!this.isFolded(entry)) {
        const copiedTo = new Set<string>();
        this.kept.set(entry.entryId, {
          entry,
          writer,
          stream,
          keptAtOffset: this.replicas.ledgerOf(entry.organisation).nextOffset,
          nextAppendAt: 0,
          copiedTo,
          onCopied: () => undefined,
        });
      }
    }
    return create(KeepEntriesAnswerSchema);
  }

  /**
   * Sends the entries to other peers, because this keeper stops.
   *
   * @returns Whether peers have all of them.
   */
  async handOver(copies: EntryCopies): Promise<boolean> {
    const writers = new Set(
      [...this.kept.values()].map(({stream, writer}) => `${stream}\0${writer}`),
    );
    for (const key of writers) {
      const [stream = '', writer = ''] = key.split('\0');
      const entries = [...this.kept.values()].filter(
        kept => kept.stream === stream && kept.writer === writer,
      );
      await copies.send(stream, writer, entries);
    }
    return [...this.kept.values()].every(({copiedTo}) => copiedTo.size > 0);
  }

  override entryFolded({entry}: FoldedEntry): void {
    this.kept.delete(entry.entryId);
  }

  override checkpointRestored(): void {
    for (const [entryId, {entry}] of this.kept) {
      if (this.isFolded(entry)) {
        this.kept.delete(entryId);
      }
    }
  }

  /** Appends the entries of the streams that are reachable. */
  review(signal: AbortSignal): void {
    this.removeExpired();
    const now = this.clock.monotonicMilliseconds();
    const due = [...this.kept.values()].filter(
      ({stream, nextAppendAt}) =>
        nextAppendAt <= now &&
        this.health.isCurrent(stream) &&
        !this.appendingStreams.has(stream),
    );
    const [first] = due;
    if (first === undefined) {
      return;
    }
    const {stream, writer} = first;
    const batch = due
      .filter(kept => kept.stream === stream && kept.writer === writer)
      .slice(0, MAXIMUM_BATCH_ENTRIES);
    this.appendingStreams.add(stream);
    void this.append(stream, writer, batch, signal).finally(() => {
      this.appendingStreams.delete(stream);
    });
  }

  private async append(
    stream: string,
    writer: string,
    batch: readonly KeptEntry[],
    signal: AbortSignal,
  ): Promise<void> {
    const entries = batch.map(({entry}) => entry);
    const payload = toBinary(
      LedgerBatchSchema,
      create(LedgerBatchSchema, {writer, entries}),
    );
    const nextAppendAt =
      this.clock.monotonicMilliseconds() + RESEND_DELAY_MILLISECONDS;
    batch.forEach(kept => {
      kept.nextAppendAt = nextAppendAt;
    });
    try {
      await this.log.append(stream, payload, signal);
      this.eventLog.info('entries of a peer appended', {
        stream,
        peer: writer,
        entries: entries.length,
      });
    } catch (error) {
      this.health.recordFailure(stream);
      this.eventLog.debug('append failed', {stream, reason: String(error)});
      batch.forEach(kept => {
        kept.nextAppendAt = 0;
      });
    }
  }

  /**
   * Removes entries of which the log may not know any more whether they were
   * folded.
   */
  private removeExpired(): void {
    for (const [entryId, {entry, keptAtOffset, writer}] of this.kept) {
      const {organisation} = entry;
      const {nextOffset} = this.replicas.ledgerOf(organisation);
      if (nextOffset - keptAtOffset > IDENTIFIER_RETENTION_OFFSETS / 2) {
        this.kept.delete(entryId);
        this.eventLog.error('kept entry expired', {
          organisation,
          entry: entryId,
          peer: writer,
        });
      }
    }
  }

  private isFolded({organisation, entryId, kind}: LedgerEntry): boolean {
    const ledger = this.replicas.ledgerOf(organisation);
    return kind.case === 'bill'
      ? ledger.isBilled(organisation, kind.value.requestId)
      : ledger.hasSeen(organisation, entryId);
  }
}

import {create, toBinary} from '@bufbuild/protobuf';
import {Code, ConnectError} from '@connectrpc/connect';
import type {Clock, LogClient} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {
  KeepEntriesAnswerSchema,
  LedgerBatchSchema,
  type KeepEntriesAnswer,
  type KeepEntriesRequest,
  type LedgerEntry,
} from '@wisteriadeal/schema';

import {LedgerListener, type FoldedEntry} from './ledger-replica.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {PlatformHealth} from './platform-health.js';

/** Maximum number of kept entries, which limits memory. */
const MAXIMUM_KEPT_ENTRIES = 50_000;
/** Maximum number of entries per record; with bills, about 100 KiB. */
const MAXIMUM_BATCH_ENTRIES = 400;
/** Delay before entries are appended again if the fold has not shown them. */
const RESEND_DELAY_MILLISECONDS = 5_000;

interface KeptEntry {
  readonly entry: LedgerEntry;
  readonly writer: string;
  readonly stream: string;
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
        const {entryId} = entry;
        this.kept.set(entryId, {entry, writer, stream, nextAppendAt: 0});
      }
    }
    return create(KeepEntriesAnswerSchema);
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
    const now = this.clock.monotonicMilliseconds();
    const due = [...this.kept.values()].filter(
      ({stream, nextAppendAt}) =>
        nextAppendAt <= now &&
        this.health.isReachable(stream) &&
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

  private isFolded({organisation, entryId, kind}: LedgerEntry): boolean {
    const ledger = this.replicas.ledgerOf(organisation);
    if (kind.case === 'bill') {
      return ledger.isBilled(organisation, kind.value.requestId);
    }
    if (kind.case === 'claim') {
      return ledger.claim(organisation, kind.value.requestId) !== undefined;
    }
    return ledger.hasSeen(organisation, entryId);
  }
}

import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {LedgerFold, type EntryVerdict} from '@wisteriadeal/ledger';
import type {LogRecord} from '@wisteriadeal/platform';
import {
  LedgerBatchSchema,
  type LedgerBatch,
  type LedgerEntry,
} from '@wisteriadeal/schema';

import {StreamReplica} from './stream-replica.js';

/** A folded entry with its verdict and its place on the log. */
export interface FoldedEntry {
  readonly stream: string;
  readonly offset: number;
  readonly writer: string;
  readonly entry: LedgerEntry;
  readonly verdict: EntryVerdict;
}

/** Receives every folded entry in log order. */
export abstract class LedgerListener {
  abstract entryFolded(entry: FoldedEntry): void;
  /**
   * Called after a stream was restored from a checkpoint, which skips records.
   */
  abstract checkpointRestored(stream: string): void;
}

function decode(payload: Uint8Array): LedgerBatch {
  try {
    return fromBinary(LedgerBatchSchema, payload);
  } catch {
    // A record that can't be decoded must not stop every reader; the fold skips
    // it too.
    return create(LedgerBatchSchema);
  }
}

/** The folded state of one `ledger-N` stream. */
export class LedgerReplica extends StreamReplica {
  private state = new LedgerFold();
  private readonly listeners: LedgerListener[] = [];

  /** The folded state. Callers must not modify it. */
  get ledger(): LedgerFold {
    return this.state;
  }

  override get nextOffset(): number {
    return this.state.nextOffset;
  }

  /** Adds a listener for entries that are folded from now on. */
  addListener(listener: LedgerListener): void {
    this.listeners.push(listener);
  }

  override restore(payload: Uint8Array, minimumOffset: number): boolean {
    for (const {kind} of decode(payload).entries) {
      if (
        kind.case !== 'checkpoint' ||
        kind.value.throughOffset < minimumOffset ||
        kind.value.throughOffset < this.nextOffset
      ) {
        continue;
      }
      const restored = LedgerFold.fromCheckpoint(kind.value);
      if (restored !== undefined) {
        this.state = restored;
        this.recent.clear();
        this.listeners.forEach(listener => {
          listener.checkpointRestored(this.stream);
        });
        return true;
      }
    }
    return false;
  }

  override checkpoint(writer: string): Uint8Array {
    const checkpoint = this.state.toCheckpoint();
    return toBinary(
      LedgerBatchSchema,
      create(LedgerBatchSchema, {
        writer,
        entries: [
          {
            entryId: `checkpoint:${this.stream}:${checkpoint.throughOffset}`,
            kind: {case: 'checkpoint', value: checkpoint},
          },
        ],
      }),
    );
  }

  protected override fold(record: LogRecord): void {
    const batch = decode(record.payload);
    const verdicts = this.state.applyBatch(record.offset, batch);
    batch.entries.forEach((entry, index) => {
      const verdict = verdicts[index];
      if (verdict === undefined) {
        return;
      }
      const folded = {
        stream: this.stream,
        offset: record.offset,
        writer: batch.writer,
        entry,
        verdict,
      };
      this.listeners.forEach(listener => {
        listener.entryFolded(folded);
      });
    });
  }
}

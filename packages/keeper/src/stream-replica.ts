import type {LogRecord} from '@wisteriadeal/platform';

import {RecentRecords} from './recent-records.js';

/** One stream of the log, folded as far as it was read. */
export abstract class StreamReplica {
  readonly recent = new RecentRecords();
  private readonly waiting = new Set<() => void>();

  constructor(readonly stream: string) {}

  /** Everything below this offset is folded. */
  abstract get nextOffset(): number;

  /**
   * Starts from a checkpoint record.
   *
   * @param minimumOffset The checkpoint must cover everything below it.
   * @returns False where the record is no valid checkpoint that reaches there.
   */
  abstract restore(payload: Uint8Array, minimumOffset: number): boolean;

  /** A checkpoint record of the state as it is. */
  abstract checkpoint(writer: string): Uint8Array;

  protected abstract fold(record: LogRecord): void;

  /** Folds the next record; one that was folded before is ignored. */
  take(record: LogRecord): void {
    if (record.offset < this.nextOffset) {
      return;
    }
    this.fold(record);
    this.recent.add(record);
    this.wakeAll();
  }

  /** Resolves after the next record, or when the signal is aborted. */
  nextRecord(signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const finish = () => {
        this.waiting.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.waiting.add(finish);
      signal.addEventListener('abort', finish, {once: true});
    });
  }

  protected wakeAll(): void {
    for (const finish of [...this.waiting]) {
      finish();
    }
  }
}

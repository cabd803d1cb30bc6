import type {LogRecord} from '@wisteriadeal/platform';

import {RecentRecords} from './recent-records.js';

/** The folded state of one stream of the log. */
export abstract class StreamReplica {
  readonly recent = new RecentRecords();
  private readonly waiters = new Set<() => void>();

  constructor(readonly stream: string) {}

  /** Offset of the next record to fold; all records below it are folded. */
  abstract get nextOffset(): number;

  /**
   * Replaces the state by that of a checkpoint record.
   *
   * @param minimumOffset The checkpoint must cover all records below this
   * offset.
   * @returns False if the record is not a valid checkpoint that covers these
   * records.
   */
  abstract restore(payload: Uint8Array, minimumOffset: number): boolean;

  /** Creates a checkpoint record of the current state. */
  abstract checkpoint(writer: string): Uint8Array;

  protected abstract fold(record: LogRecord): void;

  /** Folds the next record; a record that was already folded is ignored. */
  apply(record: LogRecord): void {
    if (record.offset < this.nextOffset) {
      return;
    }
    this.fold(record);
    this.recent.add(record);
    this.notifyWaiters();
  }

  /**
   * Resolves after the next record was folded, or when the signal is aborted.
   */
  nextRecord(signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const finish = () => {
        this.waiters.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.waiters.add(finish);
      signal.addEventListener('abort', finish, {once: true});
    });
  }

  protected notifyWaiters(): void {
    for (const finish of [...this.waiters]) {
      finish();
    }
  }
}

import type {KeyedRecord} from '@wisteriadeal/platform';

import {areAllRecords, KeyedTopicReader} from '../keyed-follower.js';

/** Listeners of `ConfigurationSequence`, called once records have been applied. */
export interface ConfigurationSequenceListeners {
  /** No configuration has preceded those that were read. */
  readonly onWhole: () => void;
  /**
   * Configurations may have come and gone that were not read: records of these offsets are
   * missing, the second one excluded.
   */
  readonly onMissed: (from: number, to: number) => void;
}

/**
 * Notices whether every configuration was read. The copy of another host, or the list of
 * all keys, has the newest one alone.
 */
export class ConfigurationSequence extends KeyedTopicReader {
  /** Every record before this offset was read or reported; undefined before any. */
  private position: number | undefined;

  constructor(private readonly listeners: ConfigurationSequenceListeners) {
    super();
  }

  override changed({offset}: KeyedRecord): void {
    this.position = offset + 1;
  }

  override replaced(records: readonly KeyedRecord[], position: number): void {
    const from = this.position;
    this.position = position;
    if (areAllRecords(records, 0, position)) {
      this.listeners.onWhole();
    } else if (from !== undefined && !areAllRecords(records, from, position)) {
      this.listeners.onMissed(from, position);
    }
  }

  override caughtUp(): void {
    // The time of a read says nothing of what is missing.
  }
}

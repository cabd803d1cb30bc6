import type {KeyedRecord} from '@wisteriadeal/platform';

import {areFirstRecords, KeyedTopicReader} from '../keyed-follower.js';

/** Notices that no configuration has preceded the first one that this host reads. */
export class FirstConfigurations extends KeyedTopicReader {
  /** @param onFirst Called if so, once the records have been applied. */
  constructor(private readonly onFirst: () => void) {
    super();
  }

  override changed(): void {
    // A later record replaces one that was read.
  }

  override replaced(records: readonly KeyedRecord[], position: number): void {
    if (areFirstRecords(records, position)) {
      this.onFirst();
    }
  }

  override caughtUp(): void {
    // Only the first read tells.
  }
}

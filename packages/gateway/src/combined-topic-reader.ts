import type {KeyedRecord} from '@wisteriadeal/platform';

import {KeyedTopicReader} from './keyed-follower.js';

/** Passes the records of one topic on to several readers, in order. */
export class CombinedTopicReader extends KeyedTopicReader {
  constructor(private readonly readers: readonly KeyedTopicReader[]) {
    super();
  }

  override changed(record: KeyedRecord): void {
    for (const reader of this.readers) {
      reader.changed(record);
    }
  }

  override replaced(records: readonly KeyedRecord[], position: number): void {
    for (const reader of this.readers) {
      reader.replaced(records, position);
    }
  }

  override caughtUp(asOf: number, answeredAt: number): void {
    for (const reader of this.readers) {
      reader.caughtUp(asOf, answeredAt);
    }
  }
}

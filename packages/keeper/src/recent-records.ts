import type {LogRecord} from '@wisteriadeal/platform';

/**
 * Records kept for peers that can't read the log, a stream. A peer further
 * behind gets a checkpoint first, so the limit costs bytes and not correctness.
 */
const MAXIMUM_BYTES = 8 * 1_024 * 1_024;

/** The latest records of one stream, without gaps. */
export class RecentRecords {
  private records: LogRecord[] = [];
  private bytes = 0;

  /** The oldest offset kept; undefined where none is. */
  get firstOffset(): number | undefined {
    return this.records[0]?.offset;
  }

  /** Adds the next record. */
  add(record: LogRecord): void {
    this.records.push(record);
    this.bytes += record.payload.byteLength;
    if (this.bytes > MAXIMUM_BYTES) {
      this.dropOldHalf();
    }
  }

  /** Forgets everything: what follows does not join on. */
  clear(): void {
    this.records = [];
    this.bytes = 0;
  }

  /** Records from an offset on, at most `limit`. */
  from(offset: number, limit: number): readonly LogRecord[] {
    const first = this.firstOffset;
    if (first === undefined) {
      return [];
    }
    const start = Math.max(0, offset - first);
    return this.records.slice(start, start + limit);
  }

  private dropOldHalf(): void {
    this.records = this.records.slice(Math.ceil(this.records.length / 2));
    this.bytes = this.records.reduce(
      (sum, record) => sum + record.payload.byteLength,
      0,
    );
  }
}

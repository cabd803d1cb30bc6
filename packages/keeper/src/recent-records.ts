import type {LogRecord} from '@wisteriadeal/platform';

/**
 * Maximum size of the payloads kept per stream for peers that can't read the
 * log. A peer that is further behind gets a checkpoint first, so the limit
 * affects the bytes that are sent but not correctness.
 */
const MAXIMUM_BYTES_PER_STREAM = 8 * 1_024 * 1_024;

/** Buffer of the latest records of one stream, without gaps. */
export class RecentRecords {
  private records: LogRecord[] = [];
  private bytes = 0;

  /** Offset of the oldest kept record; undefined if the buffer is empty. */
  get firstOffset(): number | undefined {
    return this.records[0]?.offset;
  }

  /** Adds the next record. */
  add(record: LogRecord): void {
    this.records.push(record);
    this.bytes += record.payload.byteLength;
    if (this.bytes > MAXIMUM_BYTES_PER_STREAM) {
      this.evictOldestHalf();
    }
  }

  /**
   * Removes all records; called when the next record would leave a gap after
   * them.
   */
  clear(): void {
    this.records = [];
    this.bytes = 0;
  }

  /** Returns the kept records from an offset on, at most `limit`. */
  from(offset: number, limit: number): readonly LogRecord[] {
    const first = this.firstOffset;
    if (first === undefined) {
      return [];
    }
    const start = Math.max(0, offset - first);
    return this.records.slice(start, start + limit);
  }

  private evictOldestHalf(): void {
    this.records = this.records.slice(Math.ceil(this.records.length / 2));
    this.bytes = this.records.reduce(
      (sum, record) => sum + record.payload.byteLength,
      0,
    );
  }
}

import {isSameOrigin, type StreamOrigin} from './stream-origin.js';

/** The origin of one stream. */
export interface OriginRecord {
  /** Digest of the stream. */
  readonly stream: string;
  /** Undefined if it can't be known, so that the stream must not go on. */
  readonly origin: StreamOrigin | undefined;
  /** When the record may be dropped, on the monotonic clock in milliseconds. */
  readonly keptUntil: number;
}

/** Maximum number of streams; a record takes about 200 bytes. */
const MAXIMUM_RECORDS = 20_000;
/** Number of oldest records that are examined each time one is added. */
const EXAMINED_RECORDS = 4;

/**
 * The origins of streams that their callers may take up.
 *
 * @example
 * ```ts
 * origins.record({stream, origin, keptUntil: now + 30_000}, now);
 * origins.find(stream, now)?.origin;
 * ```
 */
export class StreamOrigins {
  /** In the order in which they were recorded or renewed. */
  private readonly records = new Map<string, OriginRecord>();

  /** Number of streams. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Adds or renews a record. Two different origins of a stream leave none that can
   * be known.
   */
  record(added: OriginRecord, now: number): void {
    const before = this.find(added.stream, now);
    const isContradicted =
      before !== undefined &&
      (before.origin === undefined ||
        added.origin === undefined ||
        !isSameOrigin(before.origin, added.origin));
    this.records.delete(added.stream);
    this.records.set(added.stream, {
      stream: added.stream,
      origin: isContradicted ? undefined : added.origin,
      keptUntil: Math.max(before?.keptUntil ?? -Infinity, added.keptUntil),
    });
    this.dropOld(now);
  }

  /** The record of a stream; undefined if there is none. */
  find(stream: string, now: number): OriginRecord | undefined {
    const record = this.records.get(stream);
    return record !== undefined && record.keptUntil >= now ? record : undefined;
  }

  private dropOld(now: number): void {
    let examined = 0;
    for (const {stream, keptUntil} of this.records.values()) {
      if (keptUntil < now || this.records.size > MAXIMUM_RECORDS) {
        this.records.delete(stream);
      }
      if (++examined >= EXAMINED_RECORDS) {
        return;
      }
    }
  }
}

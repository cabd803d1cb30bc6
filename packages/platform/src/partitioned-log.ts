import {UncongestedLink, type HostLink} from './host-link.js';

/** One partition of a topic. */
export interface Partition {
  readonly topic: string;
  readonly partition: number;
}

/** Consecutive records, with the range of offsets that the partition retains. */
export interface RecordRange {
  /** Offset of the first of `records`. */
  readonly offset: number;
  readonly records: readonly Uint8Array[];
  /** Offset of the next append. */
  readonly end: number;
  /** Oldest retained offset. */
  readonly first: number;
}

/** How much of the response to a read has arrived. */
export interface ReadProgress {
  /** Offset of the next append; undefined if the response does not tell yet. */
  readonly end: number | undefined;
  readonly receivedBytes: number;
  /** Size of the whole response; undefined if the store did not announce it. */
  readonly totalBytes: number | undefined;
}

/** Options of a read. */
export interface ReadOptions {
  /** Aborting it ends the read. */
  readonly signal?: AbortSignal;
  /** Called whenever a part of a response that holds records arrives. */
  readonly onProgress?: (progress: ReadProgress) => void;
}

/** A key of a keyed topic and its value. */
export interface KeyedValue {
  readonly key: string;
  /** Undefined if the key was deleted, or is to be. */
  readonly value: Uint8Array | undefined;
}

/** The newest record of one key. */
export interface KeyedRecord extends KeyedValue {
  readonly offset: number;
}

/**
 * The newest record of each key of a partition. The records are not a snapshot: they may
 * be from different times.
 */
export interface NewestRecords {
  readonly items: readonly KeyedRecord[];
  /** Reading from this offset on returns every change that the items do not include. */
  readonly resumeOffset: number;
}

/** The requested records are no longer retained. */
export class RecordsDroppedError extends Error {
  override readonly name: string = 'RecordsDroppedError';

  /** @param first Oldest retained offset. */
  constructor(
    readonly partition: Partition,
    readonly first: number,
  ) {
    super(`${partition.topic}: records before ${first} were dropped`);
  }
}

/** A conditional record was not appended: the partition has another end. */
export class PartitionEndError extends Error {
  override readonly name: string = 'PartitionEndError';

  constructor(readonly partition: Partition) {
    super(`${partition.topic}: records were appended meanwhile`);
  }
}

/**
 * A log with partitioned topics, shared by all hosts. Offsets number the records of a
 * partition without gaps; they are the only order on which all hosts agree.
 */
export abstract class PartitionedLog {
  /** The link over which responses reach this host. */
  protected link: HostLink = new UncongestedLink();

  /**
   * Sets the link over which responses arrive: timeouts are longer while it is full.
   *
   * @example
   * ```ts
   * log.useLink(linkWatch);
   * ```
   */
  useLink(link: HostLink): void {
    this.link = link;
  }

  /**
   * Appends either all records or none.
   *
   * @returns Offset of the first record.
   * @throws StepError whose fate says whether the records may be in the log.
   */
  abstract append(
    partition: Partition,
    records: readonly Uint8Array[],
  ): Promise<number>;

  /**
   * Reads records from an offset on. If there are none, waits up to
   * `waitMilliseconds` for one.
   *
   * @throws RecordsDroppedError if the record at `from` is no longer retained.
   * @throws StepError if the store returned no usable response.
   */
  abstract read(
    partition: Partition,
    from: number,
    waitMilliseconds: number,
    options?: ReadOptions,
  ): Promise<RecordRange>;

  /**
   * Reads the newest record of each key of a keyed topic.
   *
   * @throws StepError if the store returned no usable response.
   */
  abstract newest(
    partition: Partition,
    options?: ReadOptions,
  ): Promise<NewestRecords>;

  /**
   * Appends a record to a keyed topic; the value undefined deletes the key.
   *
   * @param expectedEnd Offset at which the record is appended, or not at all; by default
   *     the record is appended at any offset.
   * @returns Offset of the record.
   * @throws PartitionEndError if the partition does not end at `expectedEnd`.
   * @throws StepError whose fate says whether the record may be in the log.
   */
  put(
    partition: Partition,
    key: string,
    value: Uint8Array | undefined,
    expectedEnd?: number,
  ): Promise<number> {
    return this.putAll(partition, [{key, value}], expectedEnd);
  }

  /**
   * Appends either all records or none to a keyed topic.
   *
   * @param expectedEnd As for `put`.
   * @returns Offset of the first record.
   * @throws PartitionEndError if the partition does not end at `expectedEnd`.
   * @throws StepError whose fate says whether the records may be in the log.
   */
  abstract putAll(
    partition: Partition,
    entries: readonly KeyedValue[],
    expectedEnd?: number,
  ): Promise<number>;

  /** Decodes a record of a keyed topic; undefined if the bytes are not a keyed record. */
  abstract keyedRecord(
    offset: number,
    record: Uint8Array,
  ): KeyedRecord | undefined;

  /** Closes open connections. */
  abstract close(): void;
}

import {FreeLink, type HostLink} from './host-link.js';

/** One partition of a topic. */
export interface Partition {
  readonly topic: string;
  readonly partition: number;
}

/** Records that follow each other, and what the partition holds. */
export interface RecordRange {
  /** Offset of the first of `records`. */
  readonly offset: number;
  readonly records: readonly Uint8Array[];
  /** Offset that the next append gets. */
  readonly end: number;
  /** Oldest offset still kept. */
  readonly first: number;
}

/** The newest record of one key. */
export interface KeyedRecord {
  readonly key: string;
  /** Undefined where the key was dropped. */
  readonly value: Uint8Array | undefined;
  readonly offset: number;
}

/** The newest records of a partition's keys; no snapshot. */
export interface NewestRecords {
  readonly items: readonly KeyedRecord[];
  /** Reading on from here misses nothing that the items lack. */
  readonly resumeAt: number;
}

/** The records asked for are no longer kept. */
export class RecordsDroppedError extends Error {
  override readonly name: string = 'RecordsDroppedError';

  /** @param first Oldest offset still kept. */
  constructor(
    readonly partition: Partition,
    readonly first: number,
  ) {
    super(`${partition.topic}: records before ${first} were dropped`);
  }
}

/**
 * A log of topics with partitions, shared by all hosts. Offsets number the records
 * of a partition without gaps and are the only order that everyone shares.
 */
export abstract class PartitionedLog {
  /** The link that answers to this host cross. */
  protected link: HostLink = new FreeLink();

  /**
   * Answers cross this link from now on: calls wait longer while it is full.
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
   * Appends all records or none.
   *
   * @returns Offset of the first record.
   * @throws StepError whose fate says whether the records may stand on the log.
   */
  abstract append(
    partition: Partition,
    records: readonly Uint8Array[],
  ): Promise<number>;

  /**
   * Reads from an offset on; waits up to `waitMilliseconds` for a record where
   * there is none.
   *
   * @throws RecordsDroppedError where `from` is no longer kept.
   * @throws StepError where the store gave no usable answer.
   */
  abstract read(
    partition: Partition,
    from: number,
    waitMilliseconds: number,
  ): Promise<RecordRange>;

  /**
   * The newest record of each key of a keyed topic.
   *
   * @throws StepError where the store gave no usable answer.
   */
  abstract newest(partition: Partition): Promise<NewestRecords>;

  /** Appends one keyed record to a keyed topic; undefined drops the key. */
  abstract put(
    partition: Partition,
    key: string,
    value: Uint8Array | undefined,
  ): Promise<number>;

  /** Splits a record of a keyed topic; undefined where it isn't one. */
  abstract keyedRecord(
    offset: number,
    record: Uint8Array,
  ): KeyedRecord | undefined;

  /** Ends open connections. */
  abstract close(): void;
}

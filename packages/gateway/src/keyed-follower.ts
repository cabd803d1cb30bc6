import {PendingRecords} from '@wisteriadeal/decisions';
import {
  RecordsDroppedError,
  type Clock,
  type KeyedRecord,
  type NewestRecords,
  type Partition,
  type PartitionedLog,
  type ReadOptions,
  type ReadProgress,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {ReadWaits} from './read-waits.js';
import type {StoreHealth} from './store-health.js';
import type {CopiedTopic, TopicCatchUp} from './topic-copies/index.js';

/** Receives the records of a keyed topic. */
export abstract class KeyedTopicReader {
  /** A key has a new value; the value is undefined if the key was deleted. */
  abstract changed(record: KeyedRecord): void;

  /**
   * Replaces all keys: those not in the list no longer exist.
   *
   * @param position Every change before this offset is included.
   */
  abstract replaced(records: readonly KeyedRecord[], position: number): void;

  /**
   * Reports that every record written before a time has been delivered.
   *
   * @param asOf When the read was requested; monotonic time, milliseconds.
   * @param answeredAt When the store told the end of the topic. A large response arrives
   *     seconds later.
   */
  abstract caughtUp(asOf: number, answeredAt: number): void;
}

/** Options of a `KeyedTopicFollower`. */
export interface FollowOptions {
  readonly partition: Partition;
  /** How long one read waits for a record, milliseconds. */
  readonly waitMilliseconds: number;
  /** Pause after reading all records, milliseconds; one call then reads many changes. */
  readonly pauseMilliseconds: number;
  /**
   * Shortest time between two reads that are asked for, which those who ask meanwhile
   * share; milliseconds.
   */
  readonly sharedReadMilliseconds: () => number;
  /** Brings copies of other hosts while a read is slow; without it, none are asked. */
  readonly catchUp?: TopicCatchUp;
  /**
   * Called with the time since which records are known that were not delivered, on the
   * monotonic clock in milliseconds; undefined if there are none.
   */
  readonly onPending?: (since: number | undefined) => void;
}

/** A response that takes longer than this from its first byte on is logged. */
const SLOW_RESPONSE_MILLISECONDS = 300;
/** Pause before a failed call is repeated; a call to the store takes 4 ms. */
const RETRY_INTERVAL_MILLISECONDS = 250;

/**
 * Follows the newest value of each key of a topic: it reads the list of all keys, then
 * the changes. If the store has dropped records in between, it reads the list again. With
 * a `TopicCatchUp`, it takes over the copy of another host while a read is slow, and keeps
 * a copy for other hosts.
 */
export class KeyedTopicFollower implements CopiedTopic {
  private readonly stop = new AbortController();
  /** Every change before this offset has been delivered; it never decreases. */
  private position = 0;
  /** Whether the list of all keys has to be read, as changes are missing or were dropped. */
  private needsAllKeys = true;
  private readonly pending = new PendingRecords();
  private readonly waits = new ReadWaits();
  /** Ends the pause in progress. */
  private pause = new AbortController();
  /** When the latest read began; monotonic clock, milliseconds. */
  private readAt = -Infinity;
  /** Whether the read in progress waits for a record. */
  private isLongPoll = false;
  private openRead: AbortController | undefined;
  /** The response that arrives, and when its first byte did. */
  private arriving:
    {readonly since: number; readonly progress: ReadProgress} | undefined;
  private readonly copy = new Map<string, KeyedRecord>();

  constructor(
    private readonly log: PartitionedLog,
    private readonly reader: KeyedTopicReader,
    private readonly options: FollowOptions,
    private readonly health: StoreHealth,
    private readonly clock: Clock,
    private readonly events: EventLog,
  ) {
    options.catchUp?.setCopyListener(copy => {
      this.takeOver(copy);
    });
  }

  get topic(): string {
    return this.options.partition.topic;
  }

  /** Every change before this offset has been delivered. */
  get deliveredUntil(): number {
    return this.position;
  }

  newest(): NewestRecords | undefined {
    return this.needsAllKeys
      ? undefined
      : {items: [...this.copy.values()], resumeOffset: this.position};
  }

  /**
   * Reads the topic without a pause, and without waiting for a record.
   *
   * @param maximumMilliseconds How long to wait for an answer of the store.
   * @returns Whether every record was delivered that was written before this call.
   */
  readNow(maximumMilliseconds: number): Promise<boolean> {
    const isRead = this.waits.next(maximumMilliseconds);
    this.pause.abort();
    if (this.isLongPoll && this.arriving === undefined) {
      this.openRead?.abort();
    }
    return isRead;
  }

  /** Follows the topic until the follower is closed. */
  async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      const read = new AbortController();
      this.openRead = read;
      this.arriving = undefined;
      try {
        await this.step(read.signal);
        this.health.answered(this.clock.monotonicMilliseconds());
      } catch (error) {
        this.logSlowResponse(false);
        if (!read.signal.aborted) {
          await this.recover(error);
        }
      }
    }
  }

  /** Stops after the call in progress. */
  close(): void {
    this.stop.abort();
    this.pause.abort();
    this.waits.close();
    this.options.catchUp?.close();
  }

  private async step(signal: AbortSignal): Promise<void> {
    if (!this.waits.isEmpty) {
      await this.spaceReads();
      if (this.stop.signal.aborted) {
        return;
      }
    }
    const requestedAt = this.clock.monotonicMilliseconds();
    this.readAt = requestedAt;
    const read = this.waits.readBegins();
    this.isLongPoll = false;
    if (this.needsAllKeys) {
      const newest = await this.log.newest(
        this.options.partition,
        this.readOptions(signal),
      );
      this.logSlowResponse(true);
      if (!signal.aborted) {
        this.replaceAll(newest);
        this.caughtUp(requestedAt, read);
      }
      return;
    }
    await this.readChanges(signal, requestedAt, read);
  }

  private async readChanges(
    signal: AbortSignal,
    requestedAt: number,
    read: number,
  ): Promise<void> {
    const {partition} = this.options;
    const waitMilliseconds = this.waits.isEmpty
      ? this.options.waitMilliseconds
      : 0;
    this.isLongPoll = waitMilliseconds > 0;
    const {offset, records, end} = await this.log.read(
      partition,
      this.position,
      waitMilliseconds,
      this.readOptions(signal),
    );
    this.logSlowResponse(true);
    if (signal.aborted) {
      return;
    }
    records.forEach((bytes, index) => {
      this.applyRecord(offset + index, bytes);
    });
    this.moveTo(offset + records.length, end);
    if (offset + records.length >= end) {
      this.caughtUp(requestedAt, read);
    } else if (records.length > 0) {
      this.waits.answered();
      return;
    }
    await this.pauseReads();
  }

  private caughtUp(requestedAt: number, read: number): void {
    this.reader.caughtUp(requestedAt, this.answeredAt);
    this.waits.readEnded(read);
  }

  /** Pauses until someone waits for the next read. */
  private async pauseReads(): Promise<void> {
    this.pause = new AbortController();
    if (this.waits.isEmpty && !this.stop.signal.aborted) {
      const {pauseMilliseconds} = this.options;
      await this.clock.sleep(pauseMilliseconds, this.pause.signal);
    }
  }

  /** Lets those who wait for a read at about the same time share it. */
  private async spaceReads(): Promise<void> {
    const elapsed = this.clock.monotonicMilliseconds() - this.readAt;
    await this.clock.sleep(
      this.options.sharedReadMilliseconds() - elapsed,
      this.stop.signal,
    );
  }

  private readOptions(signal: AbortSignal): ReadOptions {
    const {position} = this;
    return {
      signal,
      onProgress: progress => {
        const since =
          this.arriving?.since ?? this.clock.monotonicMilliseconds();
        this.arriving = {since, progress};
        this.setKnownEnd(progress.end ?? 0);
        this.options.catchUp?.progressed(position, progress);
      },
    };
  }

  private get answeredAt(): number {
    return this.arriving?.since ?? this.clock.monotonicMilliseconds();
  }

  /** Logs how much of a response has arrived in which time. */
  private logSlowResponse(isComplete: boolean): void {
    if (this.arriving === undefined) {
      return;
    }
    const {since, progress} = this.arriving;
    const tookMilliseconds = this.clock.monotonicMilliseconds() - since;
    if (!isComplete || tookMilliseconds > SLOW_RESPONSE_MILLISECONDS) {
      this.events.info('slow response of the store', {
        topic: this.topic,
        position: this.position,
        isComplete,
        tookMilliseconds: Math.round(tookMilliseconds),
        ...progress,
      });
    }
  }

  /** Continues from another host's copy, which makes the read in progress needless. */
  private takeOver(copy: NewestRecords): void {
    const {position} = this;
    if (this.stop.signal.aborted || copy.resumeOffset <= position) {
      return;
    }
    this.events.info('topic copy taken over', {
      topic: this.topic,
      from: position,
      to: copy.resumeOffset,
    });
    this.replaceAll(copy);
    this.openRead?.abort();
  }

  private replaceAll({items, resumeOffset}: NewestRecords): void {
    this.copy.clear();
    for (const item of items) {
      this.keepCopy(item);
    }
    this.reader.replaced(items, resumeOffset);
    this.needsAllKeys = false;
    this.moveTo(resumeOffset, resumeOffset);
  }

  private moveTo(position: number, end: number): void {
    this.position = position;
    this.options.catchUp?.ended();
    this.setKnownEnd(end);
  }

  private setKnownEnd(end: number): void {
    if (end > this.position) {
      this.pending.learned(end, this.clock.monotonicMilliseconds());
    }
    this.pending.delivered(this.position);
    this.options.onPending?.(this.pending.since);
  }

  private keepCopy(record: KeyedRecord): void {
    if (this.options.catchUp === undefined) {
      return;
    }
    if (record.value === undefined) {
      this.copy.delete(record.key);
    } else {
      // The value is a part of a whole response, which is not to be kept for it.
      this.copy.set(record.key, {...record, value: Buffer.from(record.value)});
    }
  }

  private applyRecord(offset: number, bytes: Uint8Array): void {
    const record = this.log.keyedRecord(offset, bytes);
    if (record === undefined) {
      this.events.warn('record ignored', {
        topic: this.topic,
        offset,
        reason: 'not a keyed record',
      });
      return;
    }
    this.keepCopy(record);
    try {
      this.reader.changed(record);
    } catch (error) {
      // A read that failed here would meet the same record again, and never get past it.
      this.events.error('record failed', {
        topic: this.topic,
        offset,
        key: record.key,
        reason: String(error),
      });
    }
  }

  private async recover(error: unknown): Promise<void> {
    if (error instanceof RecordsDroppedError) {
      this.events.warn('records dropped', {
        topic: this.topic,
        first: error.first,
      });
      this.needsAllKeys = true;
      this.setKnownEnd(error.first);
      return;
    }
    this.health.failed(this.clock.monotonicMilliseconds(), error);
    await this.clock.sleep(RETRY_INTERVAL_MILLISECONDS, this.stop.signal);
  }
}

/**
 * Whether the newest records of a topic's keys are all that it has had since an offset: no
 * key was written twice or deleted.
 *
 * @param from The first offset that counts.
 * @param position Every change before this offset is included.
 * @example
 * ```ts
 * areAllRecords([{key: 'config', value, offset: 4}], 4, 5); // true
 * areAllRecords([{key: 'config', value, offset: 4}], 3, 5); // false
 * ```
 */
export function areAllRecords(
  records: readonly KeyedRecord[],
  from: number,
  position: number,
): boolean {
  const included = records.filter(
    ({offset}) => offset >= from && offset < position,
  );
  return included.length === position - from;
}

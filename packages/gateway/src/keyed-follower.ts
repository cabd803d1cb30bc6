import {
  RecordsDroppedError,
  type Clock,
  type KeyedRecord,
  type Partition,
  type PartitionedLog,
  type ReadOptions,
  type ReadProgress,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {StoreHealth} from './store-health.js';

/** Receives the records of a keyed topic. */
export abstract class KeyedTopicReader {
  /** A key has a new value; the value is undefined if the key was deleted. */
  abstract changed(record: KeyedRecord): void;

  /** Replaces all keys: those not in the list no longer exist. */
  abstract replaced(records: readonly KeyedRecord[]): void;

  /**
   * Reports that every record written before a time has been delivered.
   *
   * @param asOf Monotonic time, milliseconds.
   */
  abstract caughtUp(asOf: number): void;
}

/** Options of a `KeyedTopicFollower`. */
export interface FollowOptions {
  readonly partition: Partition;
  /** How long one read waits for a record, milliseconds. */
  readonly waitMilliseconds: number;
  /** Pause after reading all records, milliseconds; one call then reads many changes. */
  readonly pauseMilliseconds: number;
}

/** A response that takes longer than this from its first byte on is logged. */
const SLOW_RESPONSE_MILLISECONDS = 300;
/** Pause before a failed call is repeated; a call to the store takes 4 ms. */
const RETRY_INTERVAL_MILLISECONDS = 250;

/**
 * Follows the newest value of each key of a topic: it reads the list of all keys, then
 * the changes. If the store has dropped records in between, it reads the list again.
 */
export class KeyedTopicFollower {
  private readonly stop = new AbortController();
  private position: number | undefined;
  /** The response that arrives, and when its first byte did. */
  private arriving:
    {readonly since: number; readonly progress: ReadProgress} | undefined;

  constructor(
    private readonly log: PartitionedLog,
    private readonly reader: KeyedTopicReader,
    private readonly options: FollowOptions,
    private readonly health: StoreHealth,
    private readonly clock: Clock,
    private readonly events: EventLog,
  ) {}

  /** Follows the topic until the follower is closed. */
  async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      this.arriving = undefined;
      try {
        await this.step();
        this.health.answered(this.clock.monotonicMilliseconds());
      } catch (error) {
        this.logSlowResponse(false);
        await this.recover(error);
      }
    }
  }

  /** Stops after the call in progress. */
  close(): void {
    this.stop.abort();
  }

  private async step(): Promise<void> {
    const {partition, waitMilliseconds, pauseMilliseconds} = this.options;
    const requestedAt = this.clock.monotonicMilliseconds();
    if (this.position === undefined) {
      const newest = await this.log.newest(partition, this.readOptions());
      this.logSlowResponse(true);
      this.position = newest.resumeOffset;
      this.reader.replaced(newest.items);
      this.reader.caughtUp(requestedAt);
      return;
    }
    const range = await this.log.read(
      partition,
      this.position,
      waitMilliseconds,
      this.readOptions(),
    );
    this.logSlowResponse(true);
    range.records.forEach((bytes, index) => {
      this.applyRecord(range.offset + index, bytes);
    });
    this.position = range.offset + range.records.length;
    if (this.position >= range.end) {
      this.reader.caughtUp(requestedAt);
    } else if (range.records.length > 0) {
      return;
    }
    await this.clock.sleep(pauseMilliseconds, this.stop.signal);
  }

  private readOptions(): ReadOptions {
    return {
      onProgress: progress => {
        const since =
          this.arriving?.since ?? this.clock.monotonicMilliseconds();
        this.arriving = {since, progress};
      },
    };
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
        topic: this.options.partition.topic,
        position: this.position,
        isComplete,
        tookMilliseconds: Math.round(tookMilliseconds),
        ...progress,
      });
    }
  }

  private applyRecord(offset: number, bytes: Uint8Array): void {
    const record = this.log.keyedRecord(offset, bytes);
    if (record === undefined) {
      this.events.warn('record ignored', {
        topic: this.options.partition.topic,
        offset,
        reason: 'not a keyed record',
      });
      return;
    }
    this.reader.changed(record);
  }

  private async recover(error: unknown): Promise<void> {
    if (error instanceof RecordsDroppedError) {
      this.events.warn('records dropped', {
        topic: this.options.partition.topic,
        first: error.first,
      });
      this.position = undefined;
      return;
    }
    this.health.failed(this.clock.monotonicMilliseconds(), error);
    await this.clock.sleep(RETRY_INTERVAL_MILLISECONDS, this.stop.signal);
  }
}

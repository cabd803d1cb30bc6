import {
  Fate,
  PartitionEndError,
  PartitionedLog,
  RecordsDroppedError,
  StepError,
  type KeyedRecord,
  type KeyedValue,
  type NewestRecords,
  type Partition,
  type RecordRange,
} from '@wisteriadeal/platform';

/** Faults to inject into the log; they can be changed at any time. */
export interface PartitionedLogFaults {
  /** Whether all calls fail without any effect. */
  isUnavailable: boolean;
  /** Topics for which all calls fail without any effect. */
  readonly unavailableTopics: Set<string>;
  /** Topics whose reads never complete. */
  readonly hangingReadTopics: Set<string>;
  /** Delay between a call's effect and its answer. */
  answerDelayMilliseconds: number;
  /** Number of subsequent appends that take effect but fail with an unknown outcome. */
  answersToLose: number;
  /**
   * Number of subsequent appends that fail with an unknown outcome and take effect only
   * at `runDelayedAppends`.
   */
  appendsToDelay: number;
}

interface StoredPartition {
  first: number;
  records: Uint8Array[];
}

const KEY_LENGTH_BYTES = 1;

/** An in-memory partitioned log with fault injection, which several users may share. */
export class MemoryPartitionedLog extends PartitionedLog {
  readonly faults: PartitionedLogFaults = {
    isUnavailable: false,
    unavailableTopics: new Set(),
    hangingReadTopics: new Set(),
    answerDelayMilliseconds: 0,
    answersToLose: 0,
    appendsToDelay: 0,
  };

  private readonly partitions = new Map<string, StoredPartition>();
  private delayed: {
    readonly partition: Partition;
    readonly records: readonly Uint8Array[];
    readonly expectedEnd: number | undefined;
  }[] = [];

  override append(
    partition: Partition,
    records: readonly Uint8Array[],
    expectedEnd?: number,
  ): Promise<number> {
    return this.answer('append', partition, () => {
      if (this.faults.appendsToDelay > 0) {
        this.faults.appendsToDelay--;
        this.delayed.push({partition, records, expectedEnd});
        throw failure('append', partition, Fate.Unknown);
      }
      const stored = this.stored(partition);
      const offset = stored.first + stored.records.length;
      if (expectedEnd !== undefined && expectedEnd !== offset) {
        throw new PartitionEndError(partition);
      }
      stored.records.push(...records.map(record => Uint8Array.from(record)));
      if (this.faults.answersToLose > 0) {
        this.faults.answersToLose--;
        throw failure('append', partition, Fate.Unknown);
      }
      return offset;
    });
  }

  override read(
    partition: Partition,
    from: number,
    waitMilliseconds: number,
  ): Promise<RecordRange> {
    if (this.faults.hangingReadTopics.has(partition.topic)) {
      return new Promise(() => undefined);
    }
    return this.answer(`read for ${waitMilliseconds} ms`, partition, () => {
      const {first, records} = this.stored(partition);
      if (from < first) {
        throw new RecordsDroppedError(partition, first);
      }
      return {
        offset: from,
        records: records.slice(from - first),
        end: first + records.length,
        first,
      };
    });
  }

  override newest(partition: Partition): Promise<NewestRecords> {
    return this.answer('newest', partition, () => {
      const {first, records} = this.stored(partition);
      const newest = new Map<string, KeyedRecord>();
      records.forEach((record, index) => {
        const keyed = this.keyedRecord(first + index, record);
        if (keyed !== undefined) {
          newest.set(keyed.key, keyed);
        }
      });
      const items = [...newest.values()].filter(
        ({value}) => value !== undefined,
      );
      return {items, resumeOffset: first + records.length};
    });
  }

  override putAll(
    partition: Partition,
    entries: readonly KeyedValue[],
    expectedEnd?: number,
  ): Promise<number> {
    return this.append(partition, entries.map(encodeKeyed), expectedEnd);
  }

  override keyedRecord(
    offset: number,
    record: Uint8Array,
  ): KeyedRecord | undefined {
    const length = record[0];
    if (length === undefined || record.length < KEY_LENGTH_BYTES + length) {
      return undefined;
    }
    const valueAt = KEY_LENGTH_BYTES + length;
    const value = record.subarray(valueAt);
    return {
      key: Buffer.from(record.subarray(KEY_LENGTH_BYTES, valueAt)).toString(),
      value: value.length === 0 ? undefined : value,
      offset,
    };
  }

  override close(): void {
    // Nothing is open.
  }

  /** Executes the delayed appends whose conditions still hold. */
  async runDelayedAppends(): Promise<void> {
    for (const {partition, records, expectedEnd} of this.delayed.splice(0)) {
      const {first, records: stored} = this.stored(partition);
      if (expectedEnd === undefined || expectedEnd === first + stored.length) {
        await this.append(partition, records);
      }
    }
  }

  /** Drops all records before an offset; the offsets are not reused. */
  dropBefore(partition: Partition, offset: number): void {
    const stored = this.stored(partition);
    stored.records = stored.records.slice(offset - stored.first);
    stored.first = offset;
  }

  private stored({topic, partition}: Partition): StoredPartition {
    const key = `${topic} ${partition}`;
    let stored = this.partitions.get(key);
    if (stored === undefined) {
      stored = {first: 0, records: []};
      this.partitions.set(key, stored);
    }
    return stored;
  }

  private answer<Value>(
    step: string,
    partition: Partition,
    call: () => Value,
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      setImmediate(() => {
        try {
          if (
            this.faults.isUnavailable ||
            this.faults.unavailableTopics.has(partition.topic)
          ) {
            throw failure(step, partition, Fate.NotDone);
          }
          const value = call();
          if (this.faults.answerDelayMilliseconds === 0) {
            resolve(value);
            return;
          }
          setTimeout(() => {
            resolve(value);
          }, this.faults.answerDelayMilliseconds);
        } catch (error) {
          reject(error instanceof Error ? error : new Error(String(error)));
        }
      });
    });
  }
}

function encodeKeyed({key, value}: KeyedValue): Uint8Array {
  const name = Buffer.from(key);
  return Buffer.concat([
    Buffer.from([name.length]),
    name,
    value ?? Buffer.alloc(0),
  ]);
}

function failure(step: string, partition: Partition, fate: Fate): StepError {
  return new StepError(step, partition.topic, fate, 'injected fault');
}

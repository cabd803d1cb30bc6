import {
  Fate,
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
  }[] = [];

  override append(
    partition: Partition,
    records: readonly Uint8Array[],
  ): Promise<number> {
    return this.answer('append', partition, () =>
      this.appendNow(partition, records),
    );
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

  override put(
    partition: Partition,
    key: string,
    value: Uint8Array | undefined,
  ): Promise<number> {
    return this.append(partition, [encodeKeyed({key, value})]);
  }

  override async putAllAt(
    partition: Partition,
    entries: readonly KeyedValue[],
    end: number,
  ): Promise<boolean> {
    const records = entries.map(encodeKeyed);
    return (await this.appendAt(partition, records, end)) !== undefined;
  }

  /** Appends if the partition ends at an offset; undefined if it does not. */
  appendAt(
    partition: Partition,
    records: readonly Uint8Array[],
    end: number,
  ): Promise<number | undefined> {
    return this.answer('append', partition, () =>
      this.endOf(partition) === end
        ? this.appendNow(partition, records)
        : undefined,
    );
  }

  /** Offset of the next append. */
  endOf(partition: Partition): number {
    const {first, records} = this.stored(partition);
    return first + records.length;
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

  /** Executes the delayed appends. */
  async runDelayedAppends(): Promise<void> {
    for (const {partition, records} of this.delayed.splice(0)) {
      await this.append(partition, records);
    }
  }

  /** Drops all records before an offset; the offsets are not reused. */
  dropBefore(partition: Partition, offset: number): void {
    const stored = this.stored(partition);
    stored.records = stored.records.slice(offset - stored.first);
    stored.first = offset;
  }

  private appendNow(
    partition: Partition,
    records: readonly Uint8Array[],
  ): number {
    if (this.faults.appendsToDelay > 0) {
      this.faults.appendsToDelay--;
      this.delayed.push({partition, records});
      throw failure('append', partition, Fate.Unknown);
    }
    const offset = this.endOf(partition);
    this.stored(partition).records.push(
      ...records.map(record => Uint8Array.from(record)),
    );
    if (this.faults.answersToLose > 0) {
      this.faults.answersToLose--;
      throw failure('append', partition, Fate.Unknown);
    }
    return offset;
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

import type {
  KeyedRecord,
  NewestRecords,
  Partition,
  ReadOptions,
  RecordRange,
} from '@wisteriadeal/platform';
import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {FakeClock, MemoryPartitionedLog} from '@wisteriadeal/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {KeyedTopicFollower, KeyedTopicReader} from '../keyed-follower.js';
import {StoreHealth} from '../store-health.js';
import {TopicCatchUp, TopicCopyPeers} from '../topic-copies/index.js';

const PARTITION = {topic: 'keyed.topic', partition: 0};
const PAUSE_MILLISECONDS = 350;

/** Limits the number of records that each read returns. */
class PagedLog extends MemoryPartitionedLog {
  reads = 0;
  /** Whether the list of keys breaks off after its first byte. */
  isNewestBroken = false;

  constructor(private readonly pageRecords: number) {
    super();
  }

  override async read(
    partition: Partition,
    from: number,
    waitMilliseconds: number,
  ): Promise<RecordRange> {
    this.reads++;
    const range = await super.read(partition, from, waitMilliseconds);
    return {...range, records: range.records.slice(0, this.pageRecords)};
  }

  override newest(
    partition: Partition,
    options?: ReadOptions,
  ): Promise<NewestRecords> {
    if (!this.isNewestBroken) {
      return super.newest(partition);
    }
    const progress = {
      end: undefined,
      receivedBytes: 1,
      totalBytes: 1_000_000,
    };
    options?.onProgress?.(progress);
    return Promise.reject(new Error('cut'));
  }
}

/** Holds the answer of the next read back until it is released. */
class HeldLog extends MemoryPartitionedLog {
  release: () => void = () => undefined;
  private held: Promise<void> | undefined;

  hold(): void {
    this.held = new Promise(resolve => {
      this.release = resolve;
    });
  }

  override async read(
    partition: Partition,
    from: number,
    waitMilliseconds: number,
  ): Promise<RecordRange> {
    const {held} = this;
    this.held = undefined;
    const range = await super.read(partition, from, waitMilliseconds);
    await held;
    return range;
  }
}

/** Answers no read that waits for a record. */
class SilentLog extends MemoryPartitionedLog {
  override read(
    partition: Partition,
    from: number,
    waitMilliseconds: number,
    options?: ReadOptions,
  ): Promise<RecordRange> {
    return waitMilliseconds === 0
      ? super.read(partition, from, 0)
      : new Promise((_resolve, reject) => {
          options?.signal?.addEventListener('abort', () => {
            reject(new Error('given up'));
          });
        });
  }
}

class KeyCollector extends KeyedTopicReader {
  readonly keys: string[] = [];
  /** A key whose records it fails at. */
  failingKey: string | undefined;
  readonly replacedKeys: string[] = [];
  caughtUpAt = -1;

  override changed({key}: KeyedRecord): void {
    if (key === this.failingKey) {
      throw new Error('failed');
    }
    this.keys.push(key);
  }

  override replaced(records: readonly KeyedRecord[]): void {
    this.replacedKeys.push(...records.map(({key}) => key));
  }

  override caughtUp(asOf: number): void {
    this.caughtUpAt = asOf;
  }
}

/** Another host that gives its copy whatever it is asked for. */
class CopyingPeer extends TopicCopyPeers {
  constructor(private readonly copy: NewestRecords) {
    super();
  }

  override find(): Promise<NewestRecords> {
    return Promise.resolve(this.copy);
  }

  override close(): void {
    // Nothing is open.
  }
}

describe('KeyedTopicFollower', () => {
  let clock: FakeClock;
  let reader: KeyCollector;
  let follower: KeyedTopicFollower;

  beforeEach(() => {
    clock = new FakeClock();
    reader = new KeyCollector();
  });

  afterEach(() => {
    follower.close();
  });

  function catchUpWith(copy: NewestRecords, events: EventLog): TopicCatchUp {
    return new TopicCatchUp({
      topic: PARTITION.topic,
      applyMilliseconds: 3_000,
      dataCenter: 'a',
      peers: new CopyingPeer(copy),
      clock,
      events,
      otherHosts: () => [{address: 'host-2', dataCenter: 'a'}],
      fraction: () => 0,
    });
  }

  /** Advances the clock, and lets calls to the store end. */
  async function advance(milliseconds: number): Promise<void> {
    await clock.advance(milliseconds);
    for (let turn = 0; turn < 20; turn++) {
      await clock.advance(0);
    }
  }

  /** Follows a topic that gets twenty records after the list of keys was read. */
  async function follow(
    log: MemoryPartitionedLog,
    copy?: NewestRecords,
    waitMilliseconds = 0,
  ): Promise<void> {
    const events = EventLog.create(LogLevel.INFO, {}, () => undefined);
    follower = new KeyedTopicFollower(
      log,
      reader,
      {
        partition: PARTITION,
        waitMilliseconds,
        pauseMilliseconds: PAUSE_MILLISECONDS,
        sharedReadMilliseconds: () => 20,
        ...(copy === undefined ? {} : {catchUp: catchUpWith(copy, events)}),
      },
      new StoreHealth('topic', events),
      clock,
      events,
    );
    void follower.run();
    await clock.advance(1);
    for (let key = 0; key < 20; key++) {
      await log.put(PARTITION, `key-${key}`, Buffer.from('value'));
    }
  }

  it('reads on without a pause when an answer does not contain all records', async () => {
    // Guards against outdated values when a congested link makes the pages small.
    await follow(new PagedLog(3));
    await advance(PAUSE_MILLISECONDS);
    expect(reader.keys).toHaveLength(20);
    expect(reader.caughtUpAt).toBeGreaterThanOrEqual(1);
  });

  it('reads on after a record at which the reader fails', async () => {
    // Guards against one record after which a host follows no changes any more.
    reader.failingKey = 'key-5';
    await follow(new PagedLog(3));
    await advance(PAUSE_MILLISECONDS);
    expect(reader.keys).toHaveLength(19);
    expect(reader.caughtUpAt).toBeGreaterThanOrEqual(1);
  });

  it('pauses when all records are read and after an empty answer', async () => {
    // Guards against a host that calls the store without a pause.
    const log = new PagedLog(0);
    await follow(log);
    log.reads = 0;
    await clock.advance(4 * PAUSE_MILLISECONDS);
    expect(log.reads).toBeLessThanOrEqual(4);
    expect(reader.keys).toEqual([]);
  });

  it('ends its pause for those who wait for a read, who share one', async () => {
    // Guards against waits for a pause, and against a call to the store for each of them.
    const log = new PagedLog(Infinity);
    await follow(log);
    log.reads = 0;
    const waits = [1, 2, 3].map(() => follower.readNow(1_000));
    await advance(PAUSE_MILLISECONDS / 10);
    expect(await Promise.all(waits)).toEqual([true, true, true]);
    expect(reader.keys).toHaveLength(20);
    expect(log.reads).toBe(1);
  });

  it('does not take a read that began before for the one that was asked for', async () => {
    // Guards against answers that tell less than their time of arrival suggests.
    const log = new HeldLog();
    await follow(log);
    log.hold();
    await advance(PAUSE_MILLISECONDS);
    await log.put(PARTITION, 'late', Buffer.from('value'));
    const wait = follower.readNow(1_000);
    log.release();
    await advance(PAUSE_MILLISECONDS / 10);
    expect(await wait).toBe(true);
    expect(reader.keys).toContain('late');
  });

  it('gives up a read that waits for a record for one that is asked for', async () => {
    // Guards against a wait for changes that were delivered long ago.
    await follow(new SilentLog(), undefined, 1_000);
    const wait = follower.readNow(1_000);
    await advance(PAUSE_MILLISECONDS / 10);
    expect(await wait).toBe(true);
    expect(reader.keys).toHaveLength(20);
  });

  it('tells those who wait for a read that it did not come in time', async () => {
    // Guards against requests that wait for a store that does not answer.
    const log = new HeldLog();
    await follow(log);
    log.hold();
    await advance(PAUSE_MILLISECONDS);
    expect(await follower.readNow(10)).toBe(false);
    log.release();
  });

  it('does not give up a read of a store that is slow', async () => {
    // Guards against requests that are refused although the store answers.
    const log = new HeldLog();
    await follow(log);
    log.hold();
    await advance(PAUSE_MILLISECONDS);
    const wait = follower.readNow(500);
    for (let answer = 0; answer < 2; answer++) {
      await new Promise(resolve => setTimeout(resolve, 300));
      log.release();
      log.hold();
      await advance(PAUSE_MILLISECONDS);
    }
    expect(await wait).toBe(true);
    log.release();
  });

  it('does not pause when it was closed during a read', async () => {
    // Guards against a process that is kept up by a pause after its end.
    const log = new HeldLog();
    await follow(log);
    log.hold();
    await advance(PAUSE_MILLISECONDS);
    follower.close();
    log.release();
    await advance(0);
    expect(clock.sleeping).toBe(0);
  });

  it.each([
    {name: 'an older one', resumeOffset: 4, isTaken: false},
    {name: 'a newer one', resumeOffset: 30, isTaken: true},
  ])(
    'takes over the copy of another host after records were dropped: $name',
    async ({resumeOffset, isTaken}) => {
      // Guards against a host that goes back to what another one has read.
      const log = new PagedLog(Infinity);
      const key = `copy-${resumeOffset}`;
      const items = [{key, value: Buffer.from('value'), offset: 3}];
      await follow(log, {resumeOffset, items});
      await advance(PAUSE_MILLISECONDS);
      expect(reader.keys).toHaveLength(20);
      await log.put(PARTITION, 'last', Buffer.from('value'));
      log.dropBefore(PARTITION, 21);
      log.isNewestBroken = true;
      await advance(PAUSE_MILLISECONDS);
      log.faults.isUnavailable = true;
      for (let second = 0; second < 5; second++) {
        await advance(1_000);
      }
      expect(reader.replacedKeys.includes(key)).toBe(isTaken);
    },
  );
});

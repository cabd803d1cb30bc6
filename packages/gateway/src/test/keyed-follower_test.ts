import type {KeyedRecord, Partition, RecordRange} from '@wisteriadeal/platform';
import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {FakeClock, MemoryPartitionedLog} from '@wisteriadeal/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {KeyedTopicFollower, KeyedTopicReader} from '../keyed-follower.js';
import {StoreHealth} from '../store-health.js';

const PARTITION = {topic: 'keyed.topic', partition: 0};
const PAUSE_MILLISECONDS = 350;

/** Limits the number of records that each read returns. */
class PagedLog extends MemoryPartitionedLog {
  reads = 0;

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
}

class KeyCollector extends KeyedTopicReader {
  readonly keys: string[] = [];
  caughtUpAt = -1;

  override changed({key}: KeyedRecord): void {
    this.keys.push(key);
  }

  override replaced(): void {
    // These tests check changes only.
  }

  override caughtUp(asOf: number): void {
    this.caughtUpAt = asOf;
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

  /** Follows a topic that gets twenty records after the list of keys was read. */
  async function follow(log: MemoryPartitionedLog): Promise<void> {
    const events = EventLog.create(LogLevel.INFO, {}, () => undefined);
    follower = new KeyedTopicFollower(
      log,
      reader,
      {
        partition: PARTITION,
        waitMilliseconds: 0,
        pauseMilliseconds: PAUSE_MILLISECONDS,
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
    await clock.advance(PAUSE_MILLISECONDS);
    for (let turn = 0; turn < 20; turn++) {
      await clock.advance(0);
    }
    expect(reader.keys).toHaveLength(20);
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
});

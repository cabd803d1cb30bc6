import {create, toBinary} from '@bufbuild/protobuf';
import type {SuspectKnowledge} from '@wisteriadeal/decisions';
import {EventLog, SystemClock} from '@wisteriadeal/runtime';
import {LogLevel, StoredSuspectSchema} from '@wisteriadeal/schema';
import {MemoryPartitionedLog} from '@wisteriadeal/stand-ins';
import {beforeEach, describe, expect, it} from 'vitest';

import {SUSPECT_PARTITION, SuspectArchive} from '../crashes/index.js';

class SetClock extends SystemClock {
  now = 1_000_000;

  override monotonicMilliseconds(): number {
    return this.now;
  }

  override wallMilliseconds(): number {
    return 5_000_000 + this.now;
  }
}

const SUBJECT = 'deadly';

let clock: SetClock;
let log: MemoryPartitionedLog;
let archive: SuspectArchive;

beforeEach(() => {
  clock = new SetClock();
  log = new MemoryPartitionedLog();
  const events = EventLog.create(LogLevel.ERROR, {}, () => undefined);
  archive = new SuspectArchive(log, clock, events);
});

function knowledge(): SuspectKnowledge {
  return {
    crashes: [{endpoint: 'i-1', at: clock.now - 300, subjects: [SUBJECT]}],
    tries: [{subject: SUBJECT, at: clock.now - 200}],
    successes: [],
  };
}

async function write(): Promise<void> {
  const changes = new Map([[SUBJECT, knowledge()]]);
  expect(await archive.write(changes, await archive.read())).toBe(true);
}

describe('SuspectArchive', () => {
  it('keeps when crashes and tries were', async () => {
    const written = knowledge();
    await write();
    clock.now += 60_000;
    const {bySubject} = await archive.read();
    expect(bySubject.get(SUBJECT)?.known).toEqual(written);
  });

  it('writes nothing over what it has not read', async () => {
    const stored = await archive.read();
    await write();
    expect(await archive.write(new Map(), stored)).toBe(false);
  });

  it('deletes expired entries, and what is no entry, with the next write', async () => {
    // Guards against entries that gather for good, and times that are no numbers.
    const odd = create(StoredSuspectSchema, {
      subject: SUBJECT,
      writtenAt: NaN,
      known: {tries: [{subject: SUBJECT, millisecondsAgo: NaN}]},
    });
    await write();
    await log.put(SUSPECT_PARTITION, 'odd', Buffer.from('odd'));
    const bytes = toBinary(StoredSuspectSchema, odd);
    await log.put(SUSPECT_PARTITION, 'odd-times', bytes);
    clock.now += 600_001;
    const stored = await archive.read();
    expect(stored.bySubject.size).toBe(0);
    await archive.write(new Map([['other', knowledge()]]), stored);
    expect((await log.newest(SUSPECT_PARTITION)).items.length).toBe(1);
  });
});

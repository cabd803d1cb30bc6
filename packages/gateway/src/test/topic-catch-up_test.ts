import type {NewestRecords} from '@wisteriadeal/platform';
import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  decodeTopicCopy,
  encodeTopicCopy,
  TopicCatchUp,
  TopicCopies,
  TopicCopyPeers,
} from '../topic-copies/index.js';

const TOPIC = 'keyed.op';
const HOSTS = [
  {address: 'near-1', dataCenter: 'a'},
  {address: 'near-2', dataCenter: 'a'},
  {address: 'far-1', dataCenter: 'b'},
];
const COPY: NewestRecords = {
  resumeOffset: 9,
  items: [{key: 'config', value: Buffer.from('version 5'), offset: 8}],
};

/** Hosts of which some have a copy; the others have none, or give no answer. */
class FakePeers extends TopicCopyPeers {
  readonly asked: string[] = [];
  readonly copies = new Map<string, NewestRecords | Error>();

  override find(address: string): Promise<NewestRecords | undefined> {
    this.asked.push(address);
    const copy = this.copies.get(address);
    return copy instanceof Error ? Promise.reject(copy) : Promise.resolve(copy);
  }

  override close(): void {
    // Nothing is open.
  }
}

describe('TopicCatchUp', () => {
  let clock: FakeClock;
  let peers: FakePeers;
  let catchUp: TopicCatchUp;
  let received: NewestRecords[];

  beforeEach(() => {
    clock = new FakeClock();
    peers = new FakePeers();
    received = [];
    catchUp = new TopicCatchUp({
      topic: TOPIC,
      applyMilliseconds: 3_000,
      dataCenter: 'a',
      peers,
      clock,
      events: EventLog.create(LogLevel.INFO, {}, () => undefined),
      otherHosts: () => HOSTS,
      fraction: () => 0,
    });
    catchUp.setCopyListener(copy => {
      received.push(copy);
      catchUp.ended();
    });
  });

  afterEach(() => {
    catchUp.close();
  });

  /** Reports a read that gets 16 kB of a megabyte in each tenth of a second. */
  async function readSlowly(milliseconds: number): Promise<void> {
    for (let at = 0; at < milliseconds; at += 100) {
      catchUp.progressed(7, {
        end: 9,
        receivedBytes: 16_384 * (1 + at / 100),
        totalBytes: 1_000_000,
      });
      await clock.advance(100);
    }
  }

  it('takes the copy of any host that has one', async () => {
    // Guards against hosts without a copy, or without an answer, that end the search.
    peers.copies.set('near-1', new Error('no answer'));
    peers.copies.set('near-2', COPY);
    await readSlowly(200);
    expect(received).toEqual([COPY]);
  });

  it('asks a host of each data centre first', async () => {
    // Guards against a search that ends in a data centre in which no host has the change.
    await readSlowly(300);
    expect(peers.asked.slice(0, 2)).toEqual(['near-1', 'far-1']);
  });

  it('asks again while the read goes on, and not after it', async () => {
    // Guards against a change that no host had at first, and against endless calls.
    await readSlowly(400);
    peers.copies.set('far-1', COPY);
    await readSlowly(400);
    expect(received.length).toBeGreaterThan(0);
    catchUp.ended();
    const {length} = peers.asked;
    await clock.advance(5_000);
    expect(peers.asked).toHaveLength(length);
  });

  it('asks no host while a read is fast', async () => {
    // Guards against messages that each change would cost.
    catchUp.progressed(7, {
      end: 9,
      receivedBytes: 200_000,
      totalBytes: 300_000,
    });
    await clock.advance(200);
    catchUp.ended();
    await clock.advance(1_000);
    expect(peers.asked).toEqual([]);
  });

  it('asks no host after it was closed', async () => {
    // Guards against a process that goes on asking while it ends.
    catchUp.close();
    await readSlowly(5_000);
    expect(peers.asked).toEqual([]);
  });
});

describe('TopicCopies', () => {
  async function copyAfter(position: number): Promise<Buffer> {
    const copies = new TopicCopies([{topic: TOPIC, newest: () => COPY}]);
    const parts: Uint8Array[] = [];
    for await (const part of copies.partsOf(TOPIC, position)) {
      parts.push(part);
    }
    return Buffer.concat(parts);
  }

  it('gives the newest records only if they are newer', async () => {
    // Guards against copies that bring nothing, and that lead back.
    expect((await copyAfter(9)).length).toBe(0);
    const {resumeOffset, items} = await decodeTopicCopy(await copyAfter(8));
    expect(resumeOffset).toBe(COPY.resumeOffset);
    expect(Buffer.from(items[0]?.value ?? []).toString()).toBe('version 5');
  });

  it('makes a configuration ten times smaller', async () => {
    // Guards against copies that take as long as the read that they replace.
    const routes = Array.from({length: 2_000}, (_, index) => ({
      name: `route-${index}`,
      host: 'shop.example',
      path_prefix: `/${((index + 1) * 2_654_435_761).toString(36)}/`,
      kind: 'safe',
      timeout_ms: 1_500,
      service: 'models',
      max_attempts: 2,
      public: false,
    }));
    const value = Buffer.from(JSON.stringify({version: 5, routes}));
    const copy = await encodeTopicCopy({
      resumeOffset: 1,
      items: [{key: 'config', value, offset: 0}],
    });
    expect(copy.length).toBeLessThan(value.length / 10);
  });
});

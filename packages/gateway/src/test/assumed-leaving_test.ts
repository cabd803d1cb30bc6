import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {beforeEach, describe, expect, it} from 'vitest';

import type {Dialect} from '../dialect.js';
import {EndpointDirectory} from '../endpoint-directory.js';
import type {EndpointEntry} from '../endpoint-entry.js';
import type {EndpointStatement} from '../endpoint-statements/index.js';
import {StoreHealth} from '../store-health.js';

const ID = 'i-1';
const LEAVING = {
  isLeaving: true,
  ignoredHeaders: [],
} as unknown as EndpointStatement;
/** An endpoint that leaves has gone by then. */
const LEAVING_MILLISECONDS = 10_000;

let clock: FakeClock;
let directory: EndpointDirectory;
let offset: number;

function list(bornAt: number): void {
  directory.changed({
    key: ID,
    value: Buffer.from(`${bornAt}`),
    offset: offset++,
  });
  directory.caughtUp(clock.monotonicMilliseconds());
}

function saysItLeaves(): void {
  const endpoint = directory.find(ID);
  if (endpoint === undefined) {
    throw new RangeError('not listed');
  }
  const sentAt = clock.monotonicMilliseconds();
  directory.statements.answered(endpoint, {
    statement: LEAVING,
    sentAt,
    request: undefined,
  });
}

function isOpen(): boolean {
  return directory.openEndpoints('models').length > 0;
}

beforeEach(async () => {
  clock = new FakeClock(1_000_000);
  offset = 0;
  const events = EventLog.create(LogLevel.ERROR, {}, () => undefined);
  const endpointEntry = (id: string, value: Uint8Array) =>
    ({
      id,
      service: 'models',
      build: 'v1',
      bornAt: Number(Buffer.from(value).toString()),
      isLeaving: false,
      ignoredFields: [],
    }) as unknown as EndpointEntry;
  directory = new EndpointDirectory(
    {endpointEntry} as unknown as Dialect,
    new StoreHealth('endpoints', events, {}),
    clock,
    events,
    {drainMilliseconds: 2_000, isLinkCongested: () => false},
    {
      isEvacuated: () => false,
      coldStartMilliseconds: () => 0,
      onFieldsIgnored: () => undefined,
    },
  );
  list(1);
  await clock.advance(1_000);
});

describe('a start that is listed after an answer said that its endpoint leaves', () => {
  it('gets nothing if it may have said so, until the list has it as ready for long', async () => {
    // Guards against what a start has said that is forgotten with the one before.
    const bornAt = clock.wallMilliseconds();
    saysItLeaves();
    list(bornAt);
    expect(isOpen()).toBe(false);
    await clock.advance(LEAVING_MILLISECONDS + 1);
    expect(isOpen()).toBe(false);
    list(bornAt);
    expect(isOpen()).toBe(true);
  });

  it('gets nothing at all once it has said so itself', async () => {
    // Guards against an assumption that ends what has been confirmed since.
    const bornAt = clock.wallMilliseconds();
    saysItLeaves();
    list(bornAt);
    saysItLeaves();
    await clock.advance(LEAVING_MILLISECONDS + 1);
    list(bornAt);
    expect(isOpen()).toBe(false);
  });

  it('gets requests if it was born after it', async () => {
    // Guards against starts that are shunned for what the one before said.
    saysItLeaves();
    await clock.advance(2_000);
    list(clock.wallMilliseconds());
    expect(isOpen()).toBe(true);
  });

  it('gets requests if the list named the one before after the answer', async () => {
    // Guards against starts whose clocks are behind, which are shunned.
    saysItLeaves();
    await clock.advance(1_000);
    list(1);
    await clock.advance(1_000);
    list(2);
    expect(isOpen()).toBe(true);
  });
});

import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {beforeEach, describe, expect, it} from 'vitest';

import type {Dialect} from '../dialect.js';
import {EndpointDirectory} from '../endpoint-directory.js';
import type {EndpointEntry} from '../endpoint-entry.js';
import {StoreHealth} from '../store-health.js';

const ID = 'i-1';
/** Entries that disappear around an outage are kept for this time. */
const GRACE_MILLISECONDS = 2_300;
/** The value of a record that is no entry. */
const ODD = Buffer.from('odd');

let clock: FakeClock;
let health: StoreHealth;
let directory: EndpointDirectory;

beforeEach(() => {
  clock = new FakeClock(1_000_000);
  const events = EventLog.create(LogLevel.ERROR, {}, () => undefined);
  health = new StoreHealth('endpoints', events, {});
  const dialect = {endpointEntry: decode} as unknown as Dialect;
  directory = new EndpointDirectory(
    dialect,
    health,
    clock,
    events,
    {drainMilliseconds: 2_000, isLinkCongested: () => false},
    {
      isEvacuated: () => false,
      coldStartMilliseconds: () => 0,
      onFieldsIgnored: () => undefined,
    },
  );
  directory.replaced([entry(0)], 1);
});

function decode(id: string, value: Uint8Array): EndpointEntry | undefined {
  const text = Buffer.from(value).toString();
  const [state, sequence] = text.split(' ');
  return text === ODD.toString()
    ? undefined
    : {
        id,
        service: 'models',
        address: '10.0.0.1',
        port: 1,
        dataCenter: 'a',
        slots: 1,
        isLeaving: state === 'leaving',
        bornAt: 1,
        sequence: Number(sequence),
        build: 'v1',
        coldMilliseconds: undefined,
        ignoredFields: [],
      };
}

function entry(offset: number, state = 'ready') {
  return {key: ID, value: Buffer.from(`${state} ${offset}`), offset};
}

function oddEntry(offset: number) {
  return {key: ID, value: ODD, offset};
}

function openIds(): readonly string[] {
  return directory.openEndpoints('models').map(({entry: {id}}) => id);
}

describe('an odd entry under the identifier of an endpoint', () => {
  it('does not change what the endpoint said last', () => {
    // Guards against a sound endpoint that is lost, or one that leaves and is used again.
    directory.changed(oddEntry(1));
    expect(openIds()).toEqual([ID]);
    directory.changed(entry(2, 'leaving'));
    directory.changed(oddEntry(3));
    expect(openIds()).toEqual([]);
  });

  it('does not keep an endpoint that is removed', () => {
    directory.changed(oddEntry(1));
    directory.changed({key: ID, value: undefined, offset: 2});
    directory.changed(oddEntry(3));
    expect(directory.all).toEqual([]);
  });

  it('does not keep an endpoint that may have left unseen', () => {
    // Guards against requests to an endpoint that left while changes were dropped.
    directory.replaced([oddEntry(4)], 5);
    expect(openIds()).toEqual([]);
    directory.changed(entry(5));
    expect(openIds()).toEqual([ID]);
  });

  it('does not remove an endpoint whose changes were all read', () => {
    directory.changed(oddEntry(1));
    directory.replaced([oddEntry(1)], 2);
    expect(openIds()).toEqual([ID]);
  });

  it('keeps an endpoint for a while around an outage of the store', async () => {
    // Guards against all endpoints that are lost, as none can write meanwhile.
    health.failed(0, new Error('away'));
    directory.replaced([oddEntry(4)], 5);
    health.answered(0);
    expect(openIds()).toEqual([ID]);
    await clock.advance(GRACE_MILLISECONDS);
    expect(openIds()).toEqual([]);
  });
});

import {beforeEach, describe, expect, it} from 'vitest';

import {OriginFleet, WATCH_MILLISECONDS} from './origin-fleet.js';

const V1 = {service: 'models', build: 'v1'};
const V2 = {service: 'models', build: 'v2'};
const V3 = {service: 'models', build: 'v3'};

let fleet: OriginFleet;

beforeEach(() => {
  fleet = new OriginFleet(['a', 'a', 'b', 'b', 'c']);
  fleet.addEndpoint('models', 'v1');
  fleet.read();
  fleet.clock.now += WATCH_MILLISECONDS;
  fleet.read();
});

function buildsAt(host: number): readonly string[] {
  return fleet
    .hostAt(host)
    .endpointsOf('models')
    .map(({build}) => build);
}

describe('a record that names a build which the list does not have yet', () => {
  it.each([1, 2, 3, 4])(
    'has host %i read the list before the stream goes on',
    async host => {
      // Guards against streams that are refused as of a build that has gone.
      fleet.addEndpoint('models', 'v2');
      fleet.read([fleet.hostAt(0)]);
      fleet.hostAt(0).began('s', V2);
      await fleet.settle();
      expect(await fleet.hostAt(host).originOf('s')).toEqual(V2);
      expect(buildsAt(host)).toContain('v2');
    },
  );

  it.each([1, 2, 3, 4])(
    'has host %i read the list where two other builds are listed',
    async host => {
      // Guards against streams that are refused as of a build that has gone.
      fleet.addEndpoint('models', 'v2');
      fleet.read();
      fleet.addEndpoint('models', 'v3');
      fleet.read([fleet.hostAt(0)]);
      fleet.hostAt(0).began('s', V3);
      await fleet.settle();
      expect(await fleet.hostAt(host).originOf('s')).toEqual(V3);
      expect(buildsAt(host)).toContain('v3');
    },
  );
});

it('the origin of a stream is unknown where an ignored entry names another build', async () => {
  // Guards against a start with its clock set back that hosts which started since use.
  const id = fleet.addEndpoint('models', 'v1');
  fleet.read();
  fleet.clock.now += WATCH_MILLISECONDS;
  // The same start renews its entry.
  fleet.restartEndpoint(id, 'v1', fleet.entryOf(id)?.bornAt);
  fleet.read();
  fleet.restartEndpoint(id, 'v2', 0.5);
  fleet.read();
  fleet.restart(4);
  await fleet.hostAt(4).learnFrom(fleet.hostAt(1).address);
  // Host 0 is in touch with the store, and with no other host.
  for (const {address} of fleet.hosts.slice(1)) {
    fleet.cuts.add(`${fleet.hostAt(0).address} ${address}`);
  }
  fleet.hostAt(4).began('s', V2);
  await fleet.settle();
  expect(await fleet.hostAt(0).originOf('s')).not.toEqual(V1);
});

it('a record of a run at an endpoint that was removed before its next start is listed is taken back', async () => {
  // Guards against streams of a start that could not be listed.
  const id = fleet.addEndpoint('models', 'v1');
  fleet.addEndpoint('models', 'v2');
  fleet.read();
  fleet.clock.now += 100;
  // The endpoint has another build by now, which can't be listed yet.
  fleet.hostAt(0).began('s', V1, id);
  fleet.removeEndpoint(id);
  fleet.read();
  fleet.restartEndpoint(id, 'v2');
  fleet.read();
  await fleet.settle();
  expect(await fleet.hostAt(0).originOf('s')).toBeUndefined();
});

it.each(['withoutStore', 'withoutConfiguration'] as const)(
  'the origin of a stream is known after a kill while hosts are %s',
  async lost => {
    // Guards against streams that nobody was told of while a part of the store is lost.
    for (const {address} of fleet.hosts) {
      fleet[lost].add(address);
    }
    fleet.clock.now += 5_000;
    fleet.read();
    fleet.hostAt(0).began('s', V1);
    await fleet.settle();
    fleet.hostAt(0).isLost = true;
    fleet.hosts.shift();
    for (const host of fleet.hosts) {
      expect(await host.originOf('s')).toEqual(V1);
    }
  },
);

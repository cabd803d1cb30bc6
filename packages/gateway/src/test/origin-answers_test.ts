import {beforeEach, describe, expect, it} from 'vitest';

import {OriginFleet, WATCH_MILLISECONDS} from './origin-fleet.js';

const V2 = {service: 'models', build: 'v2'};

let fleet: OriginFleet;

beforeEach(() => {
  fleet = new OriginFleet(['a', 'a', 'b']);
  fleet.addEndpoint('models', 'v1');
  fleet.read();
  fleet.clock.now += WATCH_MILLISECONDS;
  fleet.read();
});

describe('the origin of a stream of a new build is unknown to a host', () => {
  it('that has just started and asks one with an older list', async () => {
    // Guards against builds that came and went between what two hosts read.
    const id = fleet.addEndpoint('models', 'v2');
    const serving = fleet.hostAt(2);
    for (const {address} of fleet.hosts) {
      fleet.cuts.add(`${serving.address} ${address}`);
    }
    serving.read();
    serving.began('s', V2);
    await fleet.settle();
    fleet.removeEndpoint(id);
    fleet.clock.now += 1_000;
    fleet.restart(0);
    expect(await fleet.hostAt(0).originOf('s')).toBeUndefined();
  });

  it('that has just started and asks one with an older configuration', async () => {
    // Guards against services of versions that came and went between what two hosts read.
    fleet.addEndpoint('tutors', 'v2');
    const serving = fleet.hostAt(2);
    for (const {address} of fleet.hosts) {
      fleet.cuts.add(`${serving.address} ${address}`);
    }
    fleet.withoutConfiguration.add(fleet.hostAt(1).address);
    fleet.services = ['tutors'];
    fleet.version++;
    serving.read();
    serving.began('s', {service: 'tutors', build: 'v2'});
    await fleet.settle();
    fleet.services = ['models'];
    fleet.version++;
    fleet.read();
    fleet.restart(0);
    expect(await fleet.hostAt(0).originOf('s')).toBeUndefined();
  });

  it('that has read neither the new list nor of other hosts', async () => {
    // Guards against a host that takes itself for the only one.
    const outOfStep = fleet.hostAt(0);
    outOfStep.knowsOthers = false;
    fleet.withoutStore.add(outOfStep.address);
    fleet.addEndpoint('models', 'v2');
    fleet.hostAt(1).read();
    fleet.cuts.add(`${fleet.hostAt(1).address} ${outOfStep.address}`);
    fleet.hostAt(1).began('s', V2);
    await fleet.settle();
    expect(await outOfStep.originOf('s')).toBeUndefined();
  });
});

import {beforeEach, describe, expect, it} from 'vitest';

import {OriginFleet, WATCH_MILLISECONDS} from './origin-fleet.js';

const MODELS = {service: 'models', build: 'v1'};
const TUTORS = {service: 'tutors', build: 'v1'};
/** Index of the host that does not read a configuration. */
const OUT_OF_STEP = 2;

let fleet: OriginFleet;

/** Sends the route to another service, and lets hosts read that as far as they can. */
function moveRoute(service: string): void {
  fleet.services = [service];
  fleet.version++;
  fleet.read();
}

/** Cuts the host that is out of step off from the other hosts. */
function cutOff(): void {
  const {address} = fleet.hostAt(OUT_OF_STEP);
  for (const other of fleet.hosts) {
    fleet.cuts.add(`${address} ${other.address}`);
  }
}

beforeEach(() => {
  fleet = new OriginFleet(['a', 'a', 'b', 'b', 'c']);
  fleet.addEndpoint('models', 'v1');
  fleet.addEndpoint('tutors', 'v1');
  fleet.read();
  // The hosts have seen for long that the route goes to one service.
  fleet.clock.now += WATCH_MILLISECONDS;
  fleet.read();
  fleet.withoutConfiguration.add(fleet.hostAt(OUT_OF_STEP).address);
});

describe('the origin of a stream whose route has moved to another service', () => {
  it('is learned by a host that has not read the configuration', async () => {
    moveRoute('tutors');
    fleet.hostAt(0).began('s', TUTORS);
    await fleet.settle();
    expect(await fleet.hostAt(OUT_OF_STEP).originOf('s')).toEqual(TUTORS);
  });

  it('is unknown to a host that has not read the configuration and reaches no other', async () => {
    // Guards against a current list of endpoints taken for a current configuration.
    moveRoute('tutors');
    cutOff();
    fleet.hostAt(0).began('s', TUTORS);
    await fleet.settle();
    expect(await fleet.hostAt(OUT_OF_STEP).originOf('s')).toBeUndefined();
  });

  it('is unknown to a host that missed a configuration and reaches no other', async () => {
    // Guards against services of versions that came and went unread.
    moveRoute('tutors');
    fleet.hostAt(0).began('s', TUTORS);
    await fleet.settle();
    fleet.withoutConfiguration.clear();
    moveRoute('models');
    cutOff();
    expect(await fleet.hostAt(OUT_OF_STEP).originOf('s')).toBeUndefined();
  });

  it('is known without a record at a host that missed one and learned that no route had moved', async () => {
    // Guards against streams that are refused wherever the copy of another host is taken over.
    moveRoute('models');
    fleet.withoutConfiguration.clear();
    moveRoute('models');
    const outOfStep = fleet.hostAt(OUT_OF_STEP);
    expect(await outOfStep.originOf('before')).toEqual(MODELS);
    await outOfStep.learnFrom(fleet.hostAt(0).address);
    cutOff();
    expect(await outOfStep.originOf('after')).toEqual(MODELS);
  });
});

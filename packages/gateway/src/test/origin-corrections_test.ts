import {expect, it} from 'vitest';

import {OriginFleet} from './origin-fleet.js';

const DATA_CENTERS = ['a', 'a', 'b', 'b', 'c'];

it.each([1, 2, 3, 4])(
  'a stream whose endpoint had started again does not go on at host %i, which is not told',
  async host => {
    // Guards against a record that was taken back elsewhere.
    const fleet = new OriginFleet(DATA_CENTERS);
    const id = fleet.addEndpoint('models', 'v1');
    fleet.addEndpoint('models', 'v1');
    fleet.addEndpoint('models', 'v2');
    fleet.read();
    fleet.clock.now += 100;
    // The endpoint has another build by now, which the list does not tell yet.
    fleet.hostAt(0).began('s', {service: 'models', build: 'v1'});
    await fleet.settle();
    fleet.cuts.add(`${fleet.hostAt(0).address} ${fleet.hostAt(host).address}`);
    fleet.restartEndpoint(id, 'v2');
    fleet.read();
    await fleet.settle();
    expect(await fleet.hostAt(0).originOf('s')).toBeUndefined();
    expect(await fleet.hostAt(host).originOf('s')).toBeUndefined();
  },
);

import {describe, expect, it} from 'vitest';

import {decidingHosts} from '../deciding-hosts.js';
import {OriginFleet} from './origin-fleet.js';

const V1 = {service: 'models', build: 'v1'};
const HOSTS = 12;
/** Rounds of calls after which a host has tried all others. */
const MAXIMUM_ROUNDS = 6;

/** A fleet that has just started, and hosts in the order in which host 0 tells them. */
function startFleet(): {
  readonly fleet: OriginFleet;
  readonly order: readonly number[];
} {
  const fleet = new OriginFleet(Array.from({length: HOSTS}, () => 'a'));
  fleet.addEndpoint('models', 'v1');
  fleet.read();
  const addresses = fleet.hosts.map(({address}) => address);
  const [own = '', ...others] = addresses;
  const order = decidingHosts(own, others, others.length);
  return {fleet, order: order.map(address => addresses.indexOf(address))};
}

describe('the origin of a stream is known after a kill', () => {
  it.each([0, 1, 2, 5, 6, 9])(
    'while %i hosts that have ended are known',
    async ended => {
      // Guards against records that are kept for hosts which have ended.
      const {fleet, order} = startFleet();
      for (const host of order.slice(0, ended)) {
        fleet.isolate(fleet.hostAt(host));
      }
      fleet.hostAt(0).began('s', V1);
      for (let round = 0; round < MAXIMUM_ROUNDS; round++) {
        await fleet.settle();
      }
      fleet.restart(0);
      for (const host of order.slice(ended)) {
        expect(await fleet.hostAt(host).originOf('s')).toEqual(V1);
      }
    },
  );
});

import {expect, it} from 'vitest';

import {decidingHosts} from '../deciding-hosts.js';

const ADDRESSES = Array.from({length: 9}, (_, index) => `10.0.0.${index}:7200`);

it('is the same order for all hosts, and another one for each request', () => {
  // Guards against two hosts that decide on one request, and one that decides on all.
  const reversed = [...ADDRESSES].reverse();
  const firsts = new Set<string | undefined>();
  for (let request = 0; request < 100; request++) {
    const hosts = decidingHosts(`request-${request}`, ADDRESSES, 3);
    expect(decidingHosts(`request-${request}`, reversed, 3)).toEqual(hosts);
    expect(new Set(hosts).size).toBe(3);
    firsts.add(hosts[0]);
  }
  expect(firsts.size).toBe(ADDRESSES.length);
  expect(decidingHosts('chat', [], 1)).toEqual([]);
});

import {expect, it} from 'vitest';

import {DispatchedCalls} from '../dispatched-calls.js';

// If a router evicted the record of a dispatched certificate and then reported
// the claim as unused, the certificate would be issued twice. After the first
// eviction, no call may be reported as never dispatched.
it('reports no call as never dispatched after an eviction', () => {
  const calls = new DispatchedCalls(2);
  expect(calls.wasNeverDispatched('a')).toBe(true);
  calls.add('a');
  calls.add('b');
  expect([
    calls.wasNeverDispatched('a'),
    calls.wasNeverDispatched('x'),
  ]).toEqual([false, true]);
  calls.add('c');
  expect([
    calls.wasNeverDispatched('a'),
    calls.wasNeverDispatched('x'),
  ]).toEqual([false, false]);
});

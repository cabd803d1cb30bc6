import {expect, it} from 'vitest';

import {DispatchedCalls} from '../dispatched-calls.js';

// A router that forgot a certificate which it dispatched, and then vouched for
// its claim, would have it issued twice. After the first thing forgotten it
// vouches for nothing.
it('never calls unused what it may have forgotten', () => {
  const calls = new DispatchedCalls(2);
  expect(calls.isUnused('a')).toBe(true);
  calls.add('a');
  calls.add('b');
  expect([calls.isUnused('a'), calls.isUnused('x')]).toEqual([false, true]);
  calls.add('c');
  expect([calls.isUnused('a'), calls.isUnused('x')]).toEqual([false, false]);
});

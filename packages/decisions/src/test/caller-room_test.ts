import {fc, test} from '@fast-check/vitest';
import {expect, it} from 'vitest';

import {callerRoom, tunnelRoom} from '../caller-room.js';

const count = fc.integer({min: 0, max: 5_000});
const limit = fc.integer({min: 64, max: 100_000});

test.prop({limit, used: count, kept: count, requests: count, tunnels: count})(
  'callers leave room for what their requests need, and always have some',
  held => {
    const room = callerRoom(held);
    const {used, kept, requests, tunnels} = held;
    const all = room + kept + Math.max(used, requests) + 2 * tunnels;
    const isLeast = room <= Math.max(1, held.limit / 4);
    expect(room).toBeGreaterThan(0);
    expect(isLeast || all <= held.limit - 40).toBe(true);
  },
);

it('is not limited where the system sets no limit', () => {
  const held = {limit: undefined, used: 9, kept: 9, requests: 9, tunnels: 9};
  expect(callerRoom(held)).toBe(Infinity);
  expect(tunnelRoom(undefined)).toBe(Infinity);
});

it('keeps endpoints, tunnels and callers within a small limit', () => {
  // Replays idle connections that come while requests open theirs to endpoints.
  const limit = 160;
  let callers = 30;
  for (let used = 0; used <= 30; used++) {
    callers += 20;
    const held = {limit, used, kept: 10, requests: 30, tunnels: 0};
    callers = Math.min(callers, callerRoom(held));
    expect(callers + used + 10).toBeLessThanOrEqual(limit - 40);
    expect(callers).toBeGreaterThanOrEqual(30);
  }
  expect(2 * tunnelRoom(limit)).toBeLessThanOrEqual(40);
});

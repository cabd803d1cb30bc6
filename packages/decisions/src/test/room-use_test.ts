import {beforeEach, expect, it} from 'vitest';

import {RoomUse} from '../rotation/index.js';

const STEP_MILLISECONDS = 200;

let now: number;
let use: RoomUse;

beforeEach(() => {
  now = 0;
  use = new RoomUse();
});

function observe(inUse: number, room = 64, milliseconds = STEP_MILLISECONDS) {
  for (const until = now + milliseconds; now < until;) {
    now += STEP_MILLISECONDS;
    use.observe(now, {inUse, room});
  }
  return use.isTaken;
}

it('tells before the last room is taken, for as long as the balancer needs', () => {
  // Replays streams that take the room one by one, and end together.
  let streams = 0;
  while (!observe(streams)) {
    streams++;
  }
  expect(streams).toBe(56);
  expect(observe(20, 64, 2_000)).toBe(true);
  expect(observe(20)).toBe(false);
});

it('does not change with each connection that ends', () => {
  // Replays streams that end and begin while the room is almost taken.
  observe(56);
  for (let count = 0; count < 20; count++) {
    expect(observe(count % 2 === 0 ? 47 : 50)).toBe(true);
  }
});

it('has room where there is no limit', () => {
  expect(observe(100_000, Infinity)).toBe(false);
});

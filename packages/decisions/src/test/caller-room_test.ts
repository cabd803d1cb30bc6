import {fc, test} from '@fast-check/vitest';
import {expect, it} from 'vitest';

import {
  callerRoom,
  chooseToClose,
  maximumCallerRoom,
  minimumCallerRoom,
  RoomChoice,
  tunnelRoom,
} from '../caller-room.js';

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
    expect(room).toBeGreaterThanOrEqual(minimumCallerRoom(held.limit));
  },
);

it('accepts new callers beside ones that pause between their requests', () => {
  // Guards against new connections closed unread while 30 descriptors are free.
  const held = {limit: 200, used: 36, kept: 32, requests: 38, tunnels: 0};
  expect(callerRoom(held)).toBeLessThan(93);
  expect(maximumCallerRoom(held)).toBeGreaterThan(93);
  expect(maximumCallerRoom(held) + 36 + 32).toBeLessThanOrEqual(200 - 16);
});

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

const ROOM = 70;

/**
 * Replays callers that send a request 5 ms after they have connected, between others that
 * send nothing, beside callers with kept connections; numbers are connections.
 */
function replayUnused(unusedPerSecond: number, kept: number) {
  const unused: {readonly at: number; readonly sendsAt: number}[] = [];
  const counts = {served: 0, closedUnread: 0, refused: 0, keptClosed: 0};
  const everyMilliseconds = 1_000 / unusedPerSecond;
  for (let index = 0; index < 3 * unusedPerSecond; index++) {
    const now = index * everyMilliseconds;
    const isCaller = index % 10 === 0;
    const sending = unused.findIndex(({sendsAt}) => sendsAt <= now);
    if (sending >= 0) {
      counts.served++;
      unused.splice(sending, 1);
    }
    if (unused.length + kept - counts.keptClosed >= ROOM) {
      const choice = chooseToClose(
        {
          unused: unused.length,
          unusedMilliseconds: now - (unused[0]?.at ?? now),
          idleMilliseconds: now,
        },
        ROOM,
      );
      if (choice === RoomChoice.None) {
        counts.refused += Number(isCaller);
        continue;
      }
      if (choice === RoomChoice.LongestIdle) {
        counts.keptClosed++;
      } else if ((unused.shift()?.sendsAt ?? Infinity) < Infinity) {
        counts.closedUnread++;
      }
    }
    unused.push({at: now, sendsAt: isCaller ? now + 5 : Infinity});
  }
  return counts;
}

it('serves callers that send as they connect, between others that send nothing', () => {
  // Replays unused connections that come faster than one of them has been idle for long.
  const none = {closedUnread: 0, refused: 0, keptClosed: 0};
  expect(replayUnused(200, 30)).toMatchObject({...none, served: 60});
});

it('closes no kept connection for more unused ones than a part of the room', () => {
  const {keptClosed} = replayUnused(2_000, 50);
  expect(keptClosed).toBe(0);
  expect(
    chooseToClose(
      {unused: 0, unusedMilliseconds: undefined, idleMilliseconds: 2_000},
      2,
    ),
  ).toBe(RoomChoice.LongestIdle);
});

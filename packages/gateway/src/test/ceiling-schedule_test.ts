import {expect, it} from 'vitest';

import {CeilingSchedule} from '../ceiling-schedule.js';

const HOLDERS = 195;
const TICK_MILLISECONDS = 10;
/** Time until all holders know a write: the call, its announcement and their reads. */
const LEARNING_MILLISECONDS = 50;

/**
 * Replays holders of which the first in turn are dead.
 *
 * @returns Times of the writes, milliseconds after the ceiling came near.
 */
function replay(dead: number, isWaiting: boolean): readonly number[] {
  const names = Array.from({length: HOLDERS}, (_unused, rank) => `${rank}`);
  const holders = new Map(names.map(name => [name, name]));
  const live = names.slice(dead).map(incarnation => {
    const schedule = new CeilingSchedule();
    schedule.cameNear('0', 0);
    return {incarnation, schedule};
  });
  const writes: number[] = [];
  for (let now = 0; now < 5_000; now += TICK_MILLISECONDS) {
    for (const {incarnation, schedule} of live) {
      if (schedule.isDue({now, holders, incarnation, isWaiting})) {
        writes.push(now);
        schedule.raised(true, now);
      }
    }
    if (now === (writes[0] ?? Infinity) + LEARNING_MILLISECONDS) {
      live.forEach(({schedule}) => {
        schedule.raised(true, now);
      });
    }
  }
  return writes;
}

it('lets only the holder whose grant came near a ceiling raise it', () => {
  // Guards against a write of each holder.
  expect(replay(0, false)).toEqual([0]);
});

it('raises a ceiling in time though the first holders in turn are dead', () => {
  // Guards against grants that wait for a holder that was killed.
  const writes = replay(5, false);
  expect(writes[0]).toBeLessThan(1_000);
  expect(writes.length).toBeLessThan(3);
  expect(replay(5, true)[0]).toBeLessThan(100);
});

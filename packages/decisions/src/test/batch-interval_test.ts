import {describe, expect, it} from 'vitest';

import {BatchInterval} from '../stream-batching/index.js';

const PASS_MILLISECONDS = 200;
const SAMPLE_MILLISECONDS = 200;
/** Processor time of relaying the events of one read, milliseconds. */
const READ_COST = 0.7;
/** Time between two events of a stream, milliseconds. */
const EVENT_PAUSE = 30;

/** Intervals after samples of an event loop with these idle shares. */
function intervalsOf(idleShares: readonly number[]): readonly number[] {
  const interval = new BatchInterval(PASS_MILLISECONDS);
  let idle = 0;
  interval.observe(0, idle);
  return idleShares.map((share, index) => {
    idle += share * SAMPLE_MILLISECONDS;
    interval.observe((index + 1) * SAMPLE_MILLISECONDS, idle);
    return interval.milliseconds;
  });
}

function repeat(share: number, samples: number): readonly number[] {
  return Array.from({length: samples}, () => share);
}

/**
 * Share of a processor that streams take, second by second, where the reads of the next
 * second follow the interval that the second before has led to.
 */
function loadOf(streams: number, passMilliseconds: number): readonly number[] {
  const interval = new BatchInterval(passMilliseconds);
  let now = 0;
  let idle = 0;
  interval.observe(now, idle);
  return Array.from({length: 10}, () => {
    const pause = Math.max(EVENT_PAUSE, interval.milliseconds);
    const load = (streams * READ_COST) / pause;
    for (let sample = 0; sample < 5; sample++) {
      now += SAMPLE_MILLISECONDS;
      idle += Math.max(0, 1 - load) * SAMPLE_MILLISECONDS;
      interval.observe(now, idle);
    }
    return load;
  });
}

describe('the interval in which events of streams are read', () => {
  it('leaves a busy host time for new requests', () => {
    // Guards against streams that take a whole small processor for single events.
    const streams = 40;
    expect(Math.max(...loadOf(streams, 0))).toBeGreaterThan(0.9);
    expect(loadOf(streams, PASS_MILLISECONDS).at(-1)).toBeLessThan(0.6);
  });

  it('passes on each event at once while the loop has time', () => {
    // Guards against a delay of answers in calm.
    expect(intervalsOf(repeat(0.6, 20))).toEqual(repeat(0, 20));
    expect(loadOf(10, PASS_MILLISECONDS)).toEqual(loadOf(10, 0));
  });

  it('stays well below the time in which events have to arrive', () => {
    // Guards against events that are late because they wait for their batch.
    const busy = intervalsOf(repeat(0.02, 10));
    expect(busy.at(-1)).toBeGreaterThan(0);
    expect(Math.max(...busy)).toBeLessThanOrEqual(PASS_MILLISECONDS / 3);
  });

  it('does not alternate around one load', () => {
    // Guards against batches that end as soon as they have freed some time.
    const after = intervalsOf([...repeat(0.1, 5), ...repeat(0.35, 20)]);
    expect(new Set(after.slice(5)).size).toBe(1);
    const calm = intervalsOf([...repeat(0.1, 5), ...repeat(0.7, 6)]);
    expect(calm.at(-1)).toBe(0);
  });

  it('is off where the platform states no time', () => {
    const interval = new BatchInterval(0);
    interval.observe(0, 0);
    interval.observe(1_000, 0);
    expect(interval.milliseconds).toBe(0);
  });
});

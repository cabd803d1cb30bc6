import {SystemClock} from '@wisteriadeal/runtime';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {SilenceWatch} from '../silence-watch.js';

const LIMITS = {
  suspectMilliseconds: 100,
  firstMilliseconds: 300,
  nextMilliseconds: 200,
  mayMove: false,
};

let seen: string[];
let watch: SilenceWatch;

beforeEach(() => {
  vi.useFakeTimers();
  seen = [];
  watch = new SilenceWatch(LIMITS, new SystemClock(), {
    onSuspicion: () => {
      seen.push('suspicion');
    },
    onSilence: () => {
      seen.push('silence');
    },
  });
});

afterEach(() => {
  watch.close();
  vi.useRealTimers();
});

describe('SilenceWatch', () => {
  it('suspects first, and gives up later', () => {
    vi.advanceTimersByTime(101);
    expect(seen).toEqual(['suspicion']);
    vi.advanceTimersByTime(200);
    expect(seen).toEqual(['suspicion', 'silence']);
  });

  it('believes what was waiting to be read before it believes a timer', () => {
    // The caller's answer goes on. The process stood still for seconds; all timers are
    // due when it wakes, and the answers that came meanwhile have not been read yet.
    vi.advanceTimersByTime(100);
    watch.answered();
    vi.advanceTimersByTime(1_000);
    expect(seen).toEqual([]);
  });

  it('goes on watching where headers came and no event follows', () => {
    // The caller's stream is not forgotten: its engine sent headers and went dark.
    watch.answered();
    vi.advanceTimersByTime(1_000);
    expect(seen).toEqual([]);
    watch.reading();
    vi.advanceTimersByTime(301);
    expect(seen).toEqual(['suspicion']);
  });

  it('only suspects where a stream that has begun may not move', () => {
    watch.heard();
    vi.advanceTimersByTime(201);
    expect(seen).toEqual(['suspicion']);
  });

  it('begins anew with each event', () => {
    // A long stream is not given up: its events come within the limit, one by one.
    for (let event = 0; event < 5; event++) {
      watch.heard();
      vi.advanceTimersByTime(150);
    }
    expect(seen).toEqual([]);
    vi.advanceTimersByTime(51);
    expect(seen).toEqual(['suspicion']);
  });

  it('believes an event that was waiting to be read before it believes a timer', () => {
    // Guards against a stream given up for a silence in which the process stood still.
    watch.heard();
    vi.advanceTimersByTime(100);
    watch.heard();
    vi.advanceTimersToNextTimer();
    watch.heard();
    vi.advanceTimersByTime(150);
    expect(seen).toEqual([]);
  });
});

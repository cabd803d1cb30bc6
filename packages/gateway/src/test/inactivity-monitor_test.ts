import {SystemClock} from '@wisteriadeal/runtime';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {InactivityMonitor} from '../inactivity-monitor.js';

const LIMITS = {
  suspectMilliseconds: 100,
  failoverMilliseconds: 300,
  betweenEventsMilliseconds: 200,
  canFailOver: false,
};

let seen: string[];
let monitor: InactivityMonitor;

beforeEach(() => {
  vi.useFakeTimers();
  seen = [];
  monitor = new InactivityMonitor(LIMITS, new SystemClock(), {
    onSuspect: () => {
      seen.push('suspicion');
    },
    onTimeout: () => {
      seen.push('timeout');
    },
    onData: () => undefined,
  });
});

afterEach(() => {
  monitor.close();
  vi.useRealTimers();
});

describe('InactivityMonitor', () => {
  it('suspects the endpoint first and times out later', () => {
    vi.advanceTimersByTime(101);
    expect(seen).toEqual(['suspicion']);
    vi.advanceTimersByTime(200);
    expect(seen).toEqual(['suspicion', 'timeout']);
  });

  it('accepts an unread answer before an expired timer', () => {
    // Guards against cancelling an answer that has arrived. After the process
    // was blocked for seconds, all timers are due, and the answers that arrived
    // meanwhile have not been read yet.
    vi.advanceTimersByTime(100);
    monitor.headReceived();
    vi.advanceTimersByTime(1_000);
    expect(seen).toEqual([]);
  });

  it('times out if no event follows the headers', () => {
    // Guards against a stream without a timeout when its engine sends headers
    // and then hangs.
    monitor.headReceived();
    vi.advanceTimersByTime(1_000);
    expect(seen).toEqual([]);
    monitor.bodyStarted();
    vi.advanceTimersByTime(301);
    expect(seen).toEqual(['suspicion']);
  });

  it('only suspects the endpoint if a started stream may not fail over', () => {
    monitor.eventReceived();
    vi.advanceTimersByTime(201);
    expect(seen).toEqual(['suspicion']);
  });

  it('restarts the timeout with each event', () => {
    // Guards against cancelling a long stream whose events each arrive within
    // the limit.
    for (let event = 0; event < 5; event++) {
      monitor.eventReceived();
      vi.advanceTimersByTime(150);
    }
    expect(seen).toEqual([]);
    vi.advanceTimersByTime(51);
    expect(seen).toEqual(['suspicion']);
  });

  it('accepts an unread event before an expired timer', () => {
    // Guards against cancelling a stream for inactivity during which the
    // process was blocked.
    monitor.eventReceived();
    vi.advanceTimersByTime(100);
    monitor.eventReceived();
    vi.advanceTimersToNextTimer();
    monitor.eventReceived();
    vi.advanceTimersByTime(150);
    expect(seen).toEqual([]);
  });
});

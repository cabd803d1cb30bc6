import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {HostTraffic} from '../host-traffic.js';
import {LinkMonitor} from '../link-monitor.js';

const CAPACITY = 10_000;
const SAMPLE_MILLISECONDS = 200;

class FakeTraffic extends HostTraffic {
  received = {fromCallers: 0, inAll: 0};
  override readonly sent = {toCallers: 0, inAll: 0};

  override close(): void {
    // There is nothing to stop.
  }
}

let now: number;
let traffic: FakeTraffic;
let lines: Record<string, unknown>[];
let monitor: LinkMonitor;

beforeEach(() => {
  vi.useFakeTimers({toFake: ['setInterval', 'clearInterval']});
  now = 0;
  lines = [];
  traffic = new FakeTraffic();
  const events = EventLog.create(LogLevel.INFO, {}, line => {
    lines.push(JSON.parse(line) as Record<string, unknown>);
  });
  monitor = new LinkMonitor(CAPACITY, traffic, events, () => now);
  monitor.start();
});

afterEach(() => {
  monitor.close();
  vi.useRealTimers();
});

/** Receives bytes, nine tenths of them from callers. */
function receive(bytes: number): void {
  const {fromCallers, inAll} = traffic.received;
  traffic.received = {
    fromCallers: fromCallers + 0.9 * bytes,
    inAll: inAll + bytes,
  };
}

function pass(milliseconds: number, bytesPerSecond: number): void {
  for (let time = 0; time < milliseconds; time += SAMPLE_MILLISECONDS) {
    receive((bytesPerSecond * SAMPLE_MILLISECONDS) / 1_000);
    now += SAMPLE_MILLISECONDS;
    vi.advanceTimersByTime(SAMPLE_MILLISECONDS);
  }
}

function fullFor(): readonly unknown[] {
  return lines
    .filter(({event}) => event === 'link full')
    .map(({fullForMilliseconds}) => fullForMilliseconds);
}

describe('LinkMonitor', () => {
  it('logs once per second while the link is full', () => {
    // Guards against a link that stays full with no log line about the traffic
    // that fills it.
    pass(5_000, CAPACITY);
    expect(fullFor()).toEqual([1_000, 2_000, 3_000, 4_000]);
    expect(lines.at(-1)).toMatchObject({
      event: 'link full',
      capacityBytes: CAPACITY,
      receivedBytes: CAPACITY,
      fromCallersBytes: 0.9 * CAPACITY,
      delayMilliseconds: 0,
    });
    pass(3_000, 0);
    pass(3_000, CAPACITY);
    expect(fullFor()).toEqual([1_000, 2_000, 3_000, 4_000, 1_000, 2_000]);
  });

  it('does not log missed lines after the event loop was blocked', () => {
    // Guards against a burst of log lines after a block.
    pass(2_600, CAPACITY);
    now += 10_000;
    receive(10 * CAPACITY);
    pass(1_200, CAPACITY);
    expect(fullFor()).toEqual([1_000, 12_000, 13_000]);
  });

  it('logs nothing while the link is not full', () => {
    // Guards against log lines without information.
    pass(5_000, CAPACITY / 2);
    expect(lines).toEqual([]);
  });
});

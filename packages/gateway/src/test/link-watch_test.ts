import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {HostTraffic} from '../host-traffic.js';
import {LinkWatch} from '../link-watch.js';

const CAPACITY = 10_000;
const SAMPLE_MILLISECONDS = 200;

class FakeTraffic extends HostTraffic {
  received = {fromCallers: 0, inAll: 0};
  override readonly sent = {toCallers: 0, inAll: 0};

  override close(): void {
    // Counts nothing.
  }
}

let now: number;
let traffic: FakeTraffic;
let lines: Record<string, unknown>[];
let watch: LinkWatch;

beforeEach(() => {
  vi.useFakeTimers({toFake: ['setInterval', 'clearInterval']});
  now = 0;
  lines = [];
  traffic = new FakeTraffic();
  const events = EventLog.create(LogLevel.INFO, {}, line => {
    lines.push(JSON.parse(line) as Record<string, unknown>);
  });
  watch = new LinkWatch(CAPACITY, traffic, events, () => now);
  watch.start();
});

afterEach(() => {
  watch.close();
  vi.useRealTimers();
});

/** Bytes come in, nine tenths of them from callers. */
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

describe('LinkWatch', () => {
  it('writes a line each second while the link is full', () => {
    // Guards against a link that is full for long without a word on what fills it.
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

  it('makes up for no line that a blocked event loop missed', () => {
    // Guards against a burst of lines after a block.
    pass(2_600, CAPACITY);
    now += 10_000;
    receive(10 * CAPACITY);
    pass(1_200, CAPACITY);
    expect(fullFor()).toEqual([1_000, 12_000, 13_000]);
  });

  it('writes nothing of a link that is not full', () => {
    // Guards against lines that say nothing.
    pass(5_000, CAPACITY / 2);
    expect(lines).toEqual([]);
  });
});

import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';

import {StandingDelay} from '../standing-delay.js';

const SAMPLE_INTERVAL_MILLISECONDS = 50;

let delay: StandingDelay;
let now: number;

/** Records the delays in order, one every 50 ms. */
function recordDelays(...delays: readonly number[]): boolean {
  for (const milliseconds of delays) {
    now += SAMPLE_INTERVAL_MILLISECONDS;
    delay.recordArrival(now, milliseconds);
  }
  return delay.isStanding(now);
}

function repeat(count: number, milliseconds: number): readonly number[] {
  return Array.from({length: count}, () => milliseconds);
}

beforeEach(() => {
  delay = new StandingDelay();
  now = 0;
});

describe('StandingDelay', () => {
  it('detects a standing queue within a second', () => {
    expect(recordDelays(...repeat(20, 3), ...repeat(20, 700))).toBe(true);
  });

  it('does not report a burst', () => {
    expect(recordDelays(...repeat(20, 3), ...repeat(8, 700), 3)).toBe(false);
  });

  it('does not report one slow peer', () => {
    // Guards against a host that leaves the rotation because of one slow store
    // or endpoint.
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: 2_000}), {maxLength: 100}),
        slow => {
          delay = new StandingDelay();
          expect(recordDelays(3, ...slow.flatMap(late => [late, 4]))).toBe(
            false,
          );
        },
      ),
    );
  });

  it('ends only when data arrives without delay', () => {
    recordDelays(...repeat(20, 700));
    expect(recordDelays(...repeat(20, 200))).toBe(true);
    expect(recordDelays(20)).toBe(false);
    expect(recordDelays(...repeat(20, 200))).toBe(false);
  });

  it('keeps its state while no data arrives', () => {
    recordDelays(...repeat(20, 700));
    now += 10_000;
    expect(delay.isStanding(now)).toBe(true);
    expect(recordDelays(3)).toBe(false);
    now += 10_000;
    expect(delay.isStanding(now)).toBe(false);
  });

  it('reports whether data arrived without delay', () => {
    expect(recordDelays(...repeat(20, 700), 3)).toBe(false);
    expect(delay.isUndelayed(now)).toBe(true);
    recordDelays(...repeat(20, 700));
    expect(delay.isUndelayed(now)).toBe(false);
  });
});

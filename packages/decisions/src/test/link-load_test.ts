import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {LinkLoad} from '../link-load.js';

const CAPACITY_BYTES_PER_SECOND = 1_250_000;
const SAMPLE_MILLISECONDS = 200;

/**
 * Simulates a link that passes at most its capacity while callers send at a
 * given rate.
 */
class LinkReplay {
  readonly load = new LinkLoad(CAPACITY_BYTES_PER_SECOND);
  private waiting = 0;
  private callerBytes = 0;
  private storeBytes = 0;
  private now = 0;

  /** Runs for the given time. Rates are shares of the capacity. */
  run(seconds: number, callers: number, store = 0): this {
    const passes = (CAPACITY_BYTES_PER_SECOND * SAMPLE_MILLISECONDS) / 1_000;
    for (let ms = 0; ms < seconds * 1_000; ms += SAMPLE_MILLISECONDS) {
      this.now += SAMPLE_MILLISECONDS;
      this.storeBytes += store * passes;
      this.waiting += callers * passes;
      const passed = Math.min(this.waiting, (1 - store) * passes);
      this.waiting -= passed;
      this.callerBytes += passed;
      this.load.observe(this.now, {
        callerBytes: this.callerBytes,
        bytes: this.callerBytes + this.storeBytes,
      });
    }
    return this;
  }
}

describe('LinkLoad', () => {
  it.each([1, 1.3, 2, 3])(
    'detects a full link within a second, at %d times its capacity',
    part => {
      // Guards against a host that attributes its own full link to silent
      // endpoints.
      const {load} = new LinkReplay().run(5, 0.14).run(1, part);
      expect(load.isFull).toBe(true);
    },
  );

  it('is saturated while callers send more than the capacity', () => {
    const replay = new LinkReplay().run(5, 0.14);
    expect(replay.run(2, 1.1).load.isSaturated).toBe(true);
    expect(replay.run(3, 0.7).load.isSaturated).toBe(false);
    expect(replay.load.isFull).toBe(true);
  });

  it('is not full below its capacity', () => {
    const parts = fc.array(fc.double({min: 0, max: 0.84, noNaN: true}));
    fc.assert(
      fc.property(parts, rates => {
        const replay = new LinkReplay();
        for (const rate of rates) {
          expect(replay.run(0.6, rate).load.isFull).toBe(false);
        }
      }),
    );
  });

  it('recovers after the waiting data has arrived', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 30}),
        fc.double({min: 1, max: 3, noNaN: true}),
        (seconds, part) => {
          const replay = new LinkReplay().run(seconds, part);
          const rest = seconds * (part - 1);
          expect(replay.run(rest + 2, 0).load.isFull).toBe(false);
        },
      ),
    );
  });

  it('does not alternate around a threshold', () => {
    const replay = new LinkReplay().run(3, 1.5).run(2, 0.8);
    for (const part of [0.9, 0.7, 0.8, 0.65, 0.9, 0.7]) {
      expect(replay.run(1, part).load.isFull).toBe(true);
    }
  });

  it('is not full while only the store’s records use it during startup', () => {
    expect(new LinkReplay().run(5, 0.1, 0.9).load.isFull).toBe(false);
  });

  it('is never full if its capacity is unknown', () => {
    const load = new LinkLoad(0);
    for (let now = 0; now < 5_000; now += SAMPLE_MILLISECONDS) {
      load.observe(now, {callerBytes: now * 1e9, bytes: now * 1e9});
    }
    expect(load.isFull).toBe(false);
  });
});

describe('the maximum answer size of a link', () => {
  /** Time within which a store has to answer, in milliseconds. */
  const LIMIT_MILLISECONDS = 1_200;
  const MINIMUM_BYTES = 16_384;
  const rates = fc.double({min: 0, max: 3, noNaN: true});

  it('fits the remaining capacity within the limit', () => {
    // Guards against reads that time out one after the other because of their
    // own size.
    fc.assert(
      fc.property(rates, callers => {
        const {load} = new LinkReplay().run(3, callers);
        const bytes = load.maximumAnswerBytes(LIMIT_MILLISECONDS);
        const left = Math.max(0, 1 - callers) * CAPACITY_BYTES_PER_SECOND;
        const fits = (left * LIMIT_MILLISECONDS) / 1_000;
        expect(bytes).toBeLessThanOrEqual(Math.max(MINIMUM_BYTES, fits));
        expect(bytes).toBeGreaterThanOrEqual(MINIMUM_BYTES);
      }),
    );
  });

  it('is larger when callers use less', () => {
    const bytes = [0.2, 0.6, 0.9].map(callers =>
      new LinkReplay()
        .run(3, callers)
        .load.maximumAnswerBytes(LIMIT_MILLISECONDS),
    );
    expect(bytes).toEqual([...bytes].sort((one, other) => other - one));
    expect(new Set(bytes).size).toBe(bytes.length);
  });
});

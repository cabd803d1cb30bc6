import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {LinkLoad} from '../link-load.js';

/** Bytes a second. */
const CAPACITY = 1_250_000;
const SAMPLE_MILLISECONDS = 200;

/** A link that passes at most its capacity, while callers send at some rate. */
class LinkReplay {
  readonly load = new LinkLoad(CAPACITY);
  private waiting = 0;
  private callerBytes = 0;
  private storeBytes = 0;
  private now = 0;

  /** Plays so long; rates are parts of the capacity. */
  play(seconds: number, callers: number, store = 0): this {
    const passes = (CAPACITY * SAMPLE_MILLISECONDS) / 1_000;
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

describe('callers of one organisation fill one host’s link', () => {
  it.each([1, 1.3, 2, 3])('tells within a second, at %d of its link', part => {
    // Guards against a host that takes its own full link for silence of endpoints.
    const {load} = new LinkReplay().play(5, 0.14).play(1, part);
    expect(load.isFull).toBe(true);
  });

  it('is saturated as long as callers send more than it carries', () => {
    const replay = new LinkReplay().play(5, 0.14);
    expect(replay.play(2, 1.1).load.isSaturated).toBe(true);
    expect(replay.play(3, 0.7).load.isSaturated).toBe(false);
    expect(replay.load.isFull).toBe(true);
  });

  it('is not full below its capacity', () => {
    const parts = fc.array(fc.double({min: 0, max: 0.84, noNaN: true}));
    fc.assert(
      fc.property(parts, rates => {
        const replay = new LinkReplay();
        for (const rate of rates) {
          expect(replay.play(0.6, rate).load.isFull).toBe(false);
        }
      }),
    );
  });

  it('tells that it is over once what waited has come', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 30}),
        fc.double({min: 1, max: 3, noNaN: true}),
        (seconds, part) => {
          const replay = new LinkReplay().play(seconds, part);
          const rest = seconds * (part - 1);
          expect(replay.play(rest + 2, 0).load.isFull).toBe(false);
        },
      ),
    );
  });

  it('does not flap around a limit', () => {
    const replay = new LinkReplay().play(3, 1.5).play(2, 0.8);
    for (const part of [0.9, 0.7, 0.8, 0.65, 0.9, 0.7]) {
      expect(replay.play(1, part).load.isFull).toBe(true);
    }
  });

  it('is not full of callers where the store’s records fill it at a start', () => {
    expect(new LinkReplay().play(5, 0.1, 0.9).load.isFull).toBe(false);
  });

  it('is never full where its capacity is not known', () => {
    const load = new LinkLoad(0);
    for (let now = 0; now < 5_000; now += SAMPLE_MILLISECONDS) {
      load.observe(now, {callerBytes: now * 1e9, bytes: now * 1e9});
    }
    expect(load.isFull).toBe(false);
  });
});

describe('answers that cross a full link', () => {
  /** What a store is given to answer within, milliseconds. */
  const LIMIT_MILLISECONDS = 1_200;
  const SMALLEST_BYTES = 16_384;
  const rates = fc.double({min: 0, max: 3, noNaN: true});

  it('fit into what callers leave, within their limit', () => {
    // Guards against reads that expire, one after the other, on their own size.
    fc.assert(
      fc.property(rates, callers => {
        const {load} = new LinkReplay().play(3, callers);
        const bytes = load.answerBytes(LIMIT_MILLISECONDS);
        const left = Math.max(0, 1 - callers) * CAPACITY;
        const fits = (left * LIMIT_MILLISECONDS) / 1_000;
        expect(bytes).toBeLessThanOrEqual(Math.max(SMALLEST_BYTES, fits));
        expect(bytes).toBeGreaterThanOrEqual(SMALLEST_BYTES);
      }),
    );
  });

  it('are larger where callers leave more', () => {
    const bytes = [0.2, 0.6, 0.9].map(callers =>
      new LinkReplay().play(3, callers).load.answerBytes(LIMIT_MILLISECONDS),
    );
    expect(bytes).toEqual([...bytes].sort((one, other) => other - one));
    expect(new Set(bytes).size).toBe(bytes.length);
  });
});

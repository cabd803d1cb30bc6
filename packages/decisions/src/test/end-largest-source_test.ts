import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  EndLargestSource,
  inputCapacityBytes,
  SMALL_HOLDER_BYTES,
  type MemoryHolder,
} from '../memory/index.js';

const CAPACITY = inputCapacityBytes(160);
const READ_BYTES = 64 * 1_024;
const LONG_ANSWER_BYTES = 1_024 * 1_024;
const policy = new EndLargestSource();

class Exchange implements MemoryHolder {
  readonly isEndable = true;
  bytes = 0;
  isEnded = false;

  constructor(readonly source: string) {}
}

function sumOf(holders: readonly MemoryHolder[]): number {
  return holders.reduce((sum, {bytes}) => sum + bytes, 0);
}

const holder = fc.record({
  source: fc.constantFrom('endpoint a', 'endpoint b', 'caller c', 'caller d'),
  bytes: fc.nat(8 * 1_024 * 1_024),
  isEndable: fc.boolean(),
});
const holders = fc.array(holder, {maxLength: 40});

describe('EndLargestSource', () => {
  it('ends nothing while there is room', () => {
    fc.assert(
      fc.property(holders, all => {
        expect(policy.holdersToEnd(all, sumOf(all))).toEqual([]);
      }),
    );
  });

  it('makes room as far as there is anything to end', () => {
    fc.assert(
      fc.property(holders, fc.nat(CAPACITY), (all, capacity) => {
        const ended = new Set(policy.holdersToEnd(all, capacity));
        const left = all.filter(each => !ended.has(each));
        const endable = left.filter(
          ({bytes, isEndable}) => isEndable && bytes > SMALL_HOLDER_BYTES,
        );
        const room = Math.max(
          capacity - (sumOf(left) - sumOf(endable)),
          capacity / 2,
        );
        expect(sumOf(endable)).toBeLessThanOrEqual(room);
      }),
    );
  });

  it('ends nothing that is small or complete', () => {
    // Guards against short requests that end because others are large.
    fc.assert(
      fc.property(holders, fc.nat(CAPACITY), (all, capacity) => {
        for (const {bytes, isEndable} of policy.holdersToEnd(all, capacity)) {
          expect(isEndable && bytes > SMALL_HOLDER_BYTES).toBe(true);
        }
      }),
    );
  });

  it('takes from another source only if the largest one has nothing left', () => {
    fc.assert(
      fc.property(holders, fc.nat(CAPACITY), (all, capacity) => {
        const ended = policy.holdersToEnd(all, capacity);
        const others = ended.filter(({source}) => source !== ended[0]?.source);
        const first = ended.filter(({source}) => source === ended[0]?.source);
        expect(
          others.length === 0 || sumOf(all) - sumOf(first) > capacity,
        ).toBe(true);
      }),
    );
  });

  it('keeps a flood of many connections from the answers of others', () => {
    // Guards against sound answers that end because an endpoint floods beside them.
    const flood = Array.from(
      {length: 69},
      () => new Exchange('endpoint faulty'),
    );
    const sound = Array.from({length: 4}, () => new Exchange('endpoint sound'));
    const all = [...flood, ...sound];
    let peak = 0;
    let endings = 0;
    while (sound.some(({bytes}) => bytes < LONG_ANSWER_BYTES)) {
      for (const exchange of all.filter(({isEnded}) => !isEnded)) {
        const limit =
          exchange.source === 'endpoint sound' ? LONG_ANSWER_BYTES : Infinity;
        exchange.bytes = Math.min(limit, exchange.bytes + READ_BYTES);
        const open = all.filter(({isEnded}) => !isEnded);
        peak = Math.max(peak, sumOf(open));
        for (const ended of policy.holdersToEnd(open, CAPACITY)) {
          ended.isEnded = true;
          endings++;
        }
      }
    }
    expect(sound.filter(({isEnded}) => isEnded)).toEqual([]);
    expect(endings).toBeGreaterThan(0);
    expect(peak).toBeLessThanOrEqual(CAPACITY + READ_BYTES);
  });

  it('keeps the answers beside many requests whose bodies are complete', () => {
    // Guards against sound answers that end because callers' requests wait beside them.
    const requests = Array.from({length: 500}, (_value, index) => ({
      source: `caller ${index}`,
      bytes: 32 * 1_024,
      isEndable: false,
    }));
    const sound = Array.from({length: 4}, () => new Exchange('endpoint sound'));
    for (const exchange of sound) {
      exchange.bytes = LONG_ANSWER_BYTES;
    }
    expect(policy.holdersToEnd([...requests, ...sound], CAPACITY)).toEqual([]);
  });
});

describe('inputCapacityBytes', () => {
  it('leaves the process what it needs, and room for a whole answer', () => {
    expect(inputCapacityBytes(0)).toBe(inputCapacityBytes(160));
    expect(inputCapacityBytes(350)).toBeGreaterThan(inputCapacityBytes(160));
    expect(inputCapacityBytes(0.5)).toBe(8 * 1_024 * 1_024);
    for (const megabytes of [160, 350]) {
      expect(inputCapacityBytes(megabytes)).toBeLessThan(
        (megabytes - 66) * 500_000,
      );
    }
  });
});

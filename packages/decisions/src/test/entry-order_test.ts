import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';

import {EntryOrder, EntryVerdict} from '../endpoint-entries/index.js';

const LONG_SILENCE_MILLISECONDS = 10_000;

let order: EntryOrder;

beforeEach(() => {
  order = new EntryOrder();
});

function read(
  bornAt: number,
  sequence: number | undefined,
  {isLeaving = false, at = 0} = {},
): EntryVerdict {
  return order.read({bornAt, sequence, isLeaving}, at);
}

describe('an entry that the store writes late', () => {
  it('is outdated after a later one of its start', () => {
    // Guards against an endpoint that leaves and is taken for ready again.
    read(1, 14, {isLeaving: true});
    expect(read(1, 10)).toBe(EntryVerdict.Outdated);
    expect(read(1, 15, {isLeaving: true})).toBe(EntryVerdict.Current);
  });

  it('is outdated after its start was removed, also as a repeat', () => {
    // Guards against an endpoint that is gone and listed again.
    read(1, 14);
    order.removed(0);
    expect(read(1, 10)).toBe(EntryVerdict.Outdated);
    expect(read(1, 14)).toBe(EntryVerdict.Outdated);
    expect(read(1, 15)).toBe(EntryVerdict.Current);
  });

  it('is of a start that has left, whatever its number', () => {
    read(1, 14, {isLeaving: true});
    order.removed(0);
    expect(read(1, 15)).toBe(EntryVerdict.HasLeft);
    expect(read(2, 1)).toBe(EntryVerdict.Current);
  });

  it('is of an older start after a later one, listed or removed', () => {
    // Guards against the build and state of a start that has ended.
    read(1, 40);
    read(2, 1);
    expect(read(1, 41)).toBe(EntryVerdict.OlderStart);
    order.removed(0);
    expect(read(1, 41)).toBe(EntryVerdict.OlderStart);
  });
});

describe('an entry of a start whose clock is behind', () => {
  it('is current once the start before has been silent', () => {
    // Guards against an endpoint that is never used again after a step of its clock.
    read(2, 40);
    const at = LONG_SILENCE_MILLISECONDS;
    expect(read(1, 1, {at: at - 1})).toBe(EntryVerdict.OlderStart);
    expect(read(1, 2, {at})).toBe(EntryVerdict.Current);
  });
});

describe('an entry after one with a number that its endpoint does not reach', () => {
  it('is current once nothing was written for long', () => {
    // Guards against an endpoint whose entries are ignored for good, so that it never leaves.
    read(1, 1_000);
    const at = LONG_SILENCE_MILLISECONDS;
    expect(read(1, 14, {at: at - 1})).toBe(EntryVerdict.Outdated);
    expect(read(1, 15, {at, isLeaving: true})).toBe(EntryVerdict.Current);
  });

  it('is outdated if its start was removed a short time ago', () => {
    // Guards against an old entry that a host reads together with the removal.
    read(1, 14);
    const at = LONG_SILENCE_MILLISECONDS;
    order.removed(at);
    expect(read(1, 10, {at})).toBe(EntryVerdict.Outdated);
  });

  it('does not open a start that has said that it leaves', () => {
    read(1, 14, {isLeaving: true});
    const at = LONG_SILENCE_MILLISECONDS;
    expect(read(1, 10, {at})).toBe(EntryVerdict.Current);
    order.removed(at);
    expect(read(1, 15, {at})).toBe(EntryVerdict.HasLeft);
  });
});

describe('an entry that states no start or no number', () => {
  it('is current in the order of the log', () => {
    read(0, 5);
    expect(read(0, 1)).toBe(EntryVerdict.Current);
    expect(read(1, undefined)).toBe(EntryVerdict.Current);
    expect(read(1, undefined)).toBe(EntryVerdict.Current);
  });
});

describe('entries in any order of writing', () => {
  it('end with the latest one of the latest start', () => {
    // Guards against any order in which late writes take effect within seconds.
    const place = fc.record({
      bornAt: fc.integer({min: 1, max: 3}),
      sequence: fc.integer({min: 1, max: 9}),
    });
    fc.assert(
      fc.property(fc.array(place, {minLength: 1}), places => {
        order = new EntryOrder();
        const kept = places.filter(
          ({bornAt, sequence}) =>
            read(bornAt, sequence) === EntryVerdict.Current,
        );
        const rank = ({bornAt, sequence}: (typeof places)[number]) =>
          bornAt * 10 + sequence;
        const last = kept.at(-1);
        expect(last && rank(last)).toBe(Math.max(...places.map(rank)));
      }),
    );
  });
});

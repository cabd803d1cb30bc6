import {describe, expect, it} from 'vitest';

import {CallerOverflow} from '../overflow/index.js';
import {replayOverflow, type HashedCallers} from './overflow-replay.js';

const SECONDS = 20;
const OBJECTIVE = 500;

/** A sequence of numbers from 0 to below 1 that is the same in each run. */
function randomFractions(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
}

/** Callers of some heavy hosts and of the others; a host serves 33 a second. */
function callersOf(
  hosts: number,
  heavy: number,
  heavyPerSecond: number,
  otherPerSecond: number,
): readonly HashedCallers[] {
  return Array.from({length: hosts}, (_, host) => ({
    host,
    perSecond: host < heavy ? heavyPerSecond : otherPerSecond,
    objectiveMilliseconds: OBJECTIVE,
  }));
}

function inTimeShare(
  hosts: number,
  callers: readonly HashedCallers[],
  isOverflowing: boolean,
): number {
  const results = [1, 2, 3].map(seed =>
    replayOverflow(
      hosts,
      callers,
      isOverflowing,
      SECONDS,
      randomFractions(seed),
    ),
  );
  const sum = (value: (result: (typeof results)[number]) => number) =>
    results.reduce((total, result) => total + value(result), 0);
  return sum(({inTime}) => inTime) / sum(({callers: count}) => count);
}

describe('heavy callers whose hash assigns them to a few hosts', () => {
  it.each([
    {hosts: 5, heavy: 2, heavyPerSecond: 45, otherPerSecond: 8},
    {hosts: 20, heavy: 5, heavyPerSecond: 50, otherPerSecond: 10},
  ])('are served by the others of $hosts hosts', load => {
    // Guards against hosts that are saturated all day while others are idle.
    const {hosts, heavy, heavyPerSecond, otherPerSecond} = load;
    const callers = callersOf(hosts, heavy, heavyPerSecond, otherPerSecond);
    expect(inTimeShare(hosts, callers, false)).toBeLessThan(0.5);
    expect(inTimeShare(hosts, callers, true)).toBeGreaterThan(0.9);
  });

  it('are not sent back and forth where all hosts are saturated', () => {
    // Guards against refusals that take the time in which callers could be served.
    const callers = callersOf(5, 5, 45, 45);
    const served = inTimeShare(5, callers, false);
    expect(inTimeShare(5, callers, true)).toBeGreaterThan(served - 0.05);
  });

  it('are served by their hosts while these have capacity', () => {
    // Guards against refusals in calm.
    const callers = callersOf(5, 5, 20, 20);
    expect(inTimeShare(5, callers, true)).toBeGreaterThan(0.95);
  });
});

describe('the overflow of callers', () => {
  it('keeps callers that come back', () => {
    // Guards against a caller that is refused at each host it reaches.
    const overflow = new CallerOverflow(
      () => 0.5,
      () => true,
    );
    for (let index = 0; index < 20; index++) {
      overflow.recordArrival(false, 0);
    }
    const request = {objectiveMilliseconds: 100, isReturning: false};
    expect(overflow.sendsOn(request, 80, 0)).toBe(true);
    expect(overflow.sendsOn({...request, isReturning: true}, 80, 0)).toBe(
      false,
    );
    expect(overflow.sendsOn(request, 40, 0)).toBe(false);
  });

  it('does nothing on a host without others', () => {
    // Guards against refusals that nobody makes good.
    const overflow = new CallerOverflow(
      () => 0.5,
      () => false,
    );
    for (let index = 0; index < 20; index++) {
      overflow.recordArrival(false, 0);
    }
    const request = {objectiveMilliseconds: 100, isReturning: false};
    expect(overflow.sendsOn(request, 80, 0)).toBe(false);
  });
});

import {describe, expect, it} from 'vitest';

import {AnswerEstimate} from '../answer-estimate.js';

const BOUNDS = {shortestMilliseconds: 900, expectedFactor: 3};
const USUAL = {ownTokens: 600};

function after(firstEvents: readonly number[]): AnswerEstimate {
  const estimate = new AnswerEstimate();
  for (const milliseconds of firstEvents) {
    estimate.came(USUAL, milliseconds);
  }
  return estimate;
}

const CALM = Array.from({length: 40}, () => 80);

describe('AnswerEstimate', () => {
  it('bears the shortest silence before it has seen any stream', () => {
    expect(new AnswerEstimate().limit(USUAL, BOUNDS)).toBe(900);
  });

  it('moves a stream of a calm service after the shortest silence', () => {
    // The caller sees its first event a second late and not never: the engine took
    // the request and says nothing, while the others answer in 80 ms.
    expect(after(CALM).limit(USUAL, BOUNDS)).toBe(900);
  });

  it('leaves streams where they are when every engine is slow', () => {
    // The caller sees a late answer in place of none. Half of the engines are lost,
    // and first events take 0.7 to 1.2 s everywhere. A moved stream is read anew by
    // an engine that is as slow, and the caller leaves after two seconds.
    const rising = [200, 400, 700, 900, 1_000];
    const slow = [...rising, ...Array.from({length: 10}, () => 1_150)];
    expect(after([...CALM, ...slow]).limit(USUAL, BOUNDS)).toBeGreaterThan(
      2_000,
    );
  });

  it('learns from streams that it gave up', () => {
    const estimate = after(CALM);
    for (let stream = 0; stream < 12; stream++) {
      estimate.missed(USUAL, 900);
    }
    expect(estimate.limit(USUAL, BOUNDS)).toBeGreaterThan(1_500);
  });

  it('gives a long prompt the time to be read', () => {
    // The caller sees an answer. 40,000 tokens take an idle engine over a second;
    // moved after 1.2 s they are read by two engines, and by none in time.
    expect(after(CALM).limit({ownTokens: 40_000}, BOUNDS)).toBeGreaterThan(
      3_000,
    );
  });

  it('comes back to the shortest silence when the service is calm again', () => {
    const slow = Array.from({length: 20}, () => 1_200);
    expect(after([...slow, ...CALM]).limit(USUAL, BOUNDS)).toBe(900);
  });
});

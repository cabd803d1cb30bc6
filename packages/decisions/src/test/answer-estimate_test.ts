import {describe, expect, it} from 'vitest';

import {AnswerEstimate} from '../answer-estimate.js';

const BOUNDS = {minimumMilliseconds: 900, expectedFactor: 3};
const SHORT_PROMPT = {ownTokens: 600};

function estimateAfter(firstEvents: readonly number[]): AnswerEstimate {
  const estimate = new AnswerEstimate();
  for (const milliseconds of firstEvents) {
    estimate.recordStart(SHORT_PROMPT, milliseconds);
  }
  return estimate;
}

const FAST_ANSWERS = Array.from({length: 40}, () => 80);

describe('AnswerEstimate', () => {
  it('returns the minimum timeout before the first sample', () => {
    expect(new AnswerEstimate().timeoutMilliseconds(SHORT_PROMPT, BOUNDS)).toBe(
      900,
    );
  });

  it('returns the minimum timeout while a service answers fast', () => {
    // One engine accepted the request and sends nothing while the others answer
    // in 80 ms. The request is moved, so that the caller gets its first event a
    // second late instead of never.
    expect(
      estimateAfter(FAST_ANSWERS).timeoutMilliseconds(SHORT_PROMPT, BOUNDS),
    ).toBe(900);
  });

  it('raises the timeout when every engine is slow', () => {
    // Guards against moving streams when every engine is slow. Half of the
    // engines are lost, and first events take 0.7 to 1.2 s on all of them.
    // Another engine would have to read the prompt again just as slowly, and
    // the caller leaves after two seconds.
    const rising = [200, 400, 700, 900, 1_000];
    const slow = [...rising, ...Array.from({length: 10}, () => 1_150)];
    expect(
      estimateAfter([...FAST_ANSWERS, ...slow]).timeoutMilliseconds(
        SHORT_PROMPT,
        BOUNDS,
      ),
    ).toBeGreaterThan(2_000);
  });

  it('raises the timeout after timeouts', () => {
    const estimate = estimateAfter(FAST_ANSWERS);
    for (let stream = 0; stream < 12; stream++) {
      estimate.recordTimeout(SHORT_PROMPT, 900);
    }
    expect(estimate.timeoutMilliseconds(SHORT_PROMPT, BOUNDS)).toBeGreaterThan(
      1_500,
    );
  });

  it('allows for the time to read a long prompt', () => {
    // Guards against moving a long prompt before it has been read. An idle
    // engine takes over a second for 40,000 tokens; moved after 1.2 s, the
    // prompt would be read by two engines and answered in time by neither.
    expect(
      estimateAfter(FAST_ANSWERS).timeoutMilliseconds(
        {ownTokens: 40_000},
        BOUNDS,
      ),
    ).toBeGreaterThan(3_000);
  });

  it('returns to the minimum timeout when the service recovers', () => {
    const slow = Array.from({length: 20}, () => 1_200);
    expect(
      estimateAfter([...slow, ...FAST_ANSWERS]).timeoutMilliseconds(
        SHORT_PROMPT,
        BOUNDS,
      ),
    ).toBe(900);
  });
});

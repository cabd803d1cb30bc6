import {describe, expect, it} from 'vitest';

import {StatedRest} from '../endpoint-statements/index.js';
import {RestReplay, type RestScenario} from './rest-replay.js';

const REST = 3_000;

describe('StatedRest', () => {
  it('lasts as long as the longest rest that was asked for', () => {
    const rest = new StatedRest();
    rest.asked(REST, 0);
    rest.asked(500, 100);
    expect(rest.mayTake(REST - 1)).toBe(false);
    expect(rest.remainingMilliseconds(1_000)).toBe(2_000);
    expect(rest.mayTake(REST)).toBe(true);
  });

  it('ends with one request until that was answered', () => {
    // Guards against hosts that send their whole share to an endpoint at once.
    const rest = new StatedRest();
    rest.asked(REST, 0);
    rest.requestSent(REST);
    expect(rest.mayTake(REST + 100)).toBe(false);
    rest.answered(REST - 1);
    expect(rest.mayTake(REST + 100)).toBe(false);
    rest.answered(REST);
    expect(rest.mayTake(REST + 100)).toBe(true);
  });

  it('ends although the first request after it gets no answer', () => {
    // Guards against an endpoint that gets nothing any more for one lost request.
    const rest = new StatedRest();
    rest.asked(REST, 0);
    rest.requestSent(REST);
    expect(rest.mayTake(REST + 1_000)).toBe(true);
  });

  it('begins anew if that request asks for it', () => {
    const rest = new StatedRest();
    rest.asked(REST, 0);
    rest.requestSent(REST);
    rest.asked(REST, REST + 5);
    expect(rest.mayTake(2 * REST)).toBe(false);
    expect(rest.mayTake(2 * REST + 5)).toBe(true);
  });

  it('is bounded, and none with no time', () => {
    // Guards against a value in another unit that shuns an endpoint for days.
    const rest = new StatedRest();
    rest.asked(0, 0);
    expect(rest.mayTake(0)).toBe(true);
    rest.asked(1e12, 0);
    expect(rest.remainingMilliseconds(0)).toBe(600_000);
  });
});

describe.each([3, 12, 40])('before %i hosts', hosts => {
  const MINIMUM_SHARE = 0.7;
  const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
  /** Least share of the first endpoint in four seconds that begin a second late. */
  const leastShare = (from: number, scenario: Partial<RestScenario>) =>
    Math.min(
      ...SEEDS.map(seed =>
        new RestReplay({hosts, seed, ...scenario})
          .run(from + 5_000)
          .shareOfFirst(from + 1_000, from + 5_000),
      ),
    );

  it('an endpoint gets its usual part again a second after its rest', () => {
    // Guards against an endpoint that is shunned for the time of one answer or refusal.
    const share = leastShare(4_500, {refusesUntil: 2_500});
    expect(share).toBeGreaterThan(MINIMUM_SHARE);
  });

  it('an endpoint that joins gets its part after a second', () => {
    // Guards against hosts that go on with the endpoints that they know.
    const share = leastShare(5_000, {joinsAt: 5_000});
    expect(share).toBeGreaterThan(MINIMUM_SHARE);
  });
});

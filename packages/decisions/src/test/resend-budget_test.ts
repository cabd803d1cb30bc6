import {describe, expect, it} from 'vitest';

import {ResendBudget} from '../resend-budget.js';

const LIMITS = {
  resendsPerRequest: 0.2,
  extraResends: 58,
  windowMilliseconds: 10_000,
};

/** Number of resends granted if every request asks for one. */
function grantedResends(
  hosts: number,
  requestsEach: number,
  isCountKnown = true,
): number {
  let total = 0;
  for (let host = 0; host < hosts; host++) {
    const budget = new ResendBudget(LIMITS);
    for (let request = 0; request < requestsEach; request++) {
      budget.recordRequest(request);
      total += budget.tryTake(isCountKnown ? hosts : undefined, request)
        ? 1
        : 0;
    }
  }
  return total;
}

describe('ResendBudget', () => {
  it.each([
    [1, 1_000],
    [9, 100],
    [75, 10],
    [75, 1],
  ])('keeps %i hosts within the fleet-wide limit', (hosts, requestsEach) => {
    // An endpoint fails and each request could be sent to a second one. Guards
    // against doubling the load on the remaining endpoints, which would then
    // fail as well.
    const bound =
      LIMITS.resendsPerRequest * hosts * requestsEach + LIMITS.extraResends;
    expect(grantedResends(hosts, requestsEach)).toBeLessThanOrEqual(bound);
  });

  it.each([
    [4, 40],
    [75, 10],
  ])('keeps %i hosts that do not know of each other within it', (...size) => {
    // Guards against hosts that each take what all of them may.
    const granted = grantedResends(...size, false);
    const [hosts, requestsEach] = size;
    const bound = LIMITS.resendsPerRequest * hosts * requestsEach;
    expect(granted).toBeGreaterThan(0);
    expect(granted).toBeLessThanOrEqual(bound);
  });

  it('grants a resend again that was given back', () => {
    const limits = {...LIMITS, resendsPerRequest: 0, extraResends: 2};
    const budget = new ResendBudget(limits);
    expect(budget.tryTake(1, 0)).toBe(true);
    budget.giveBack();
    expect(budget.tryTake(1, 1)).toBe(true);
    expect(budget.tryTake(1, 2)).toBe(false);
  });

  it('ignores resends older than the window', () => {
    const budget = new ResendBudget({
      ...LIMITS,
      resendsPerRequest: 0,
      extraResends: 2,
    });
    expect(budget.tryTake(1, 0)).toBe(true);
    expect(budget.tryTake(1, 5_000)).toBe(false);
    expect(budget.tryTake(1, 10_001)).toBe(true);
  });
});

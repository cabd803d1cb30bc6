import {describe, expect, it} from 'vitest';

import {RefillBackoff} from '../refill-backoff.js';

const EXCHANGE_MILLISECONDS = 30;
const LOAD_MILLISECONDS = 20_000;

/** Requests a refill in each exchange that allows it; returns the request times. */
function requestTimes(backoff: RefillBackoff, granted: number): number[] {
  const times: number[] = [];
  for (let now = 0; now < LOAD_MILLISECONDS; now += EXCHANGE_MILLISECONDS) {
    if (backoff.mayRequest(now)) {
      backoff.recordVerdict(granted, now);
      times.push(now);
    }
  }
  return times;
}

describe('RefillBackoff', () => {
  it('requests rarely while the log denies refills', () => {
    // Guards against a request by each of 61 hosts in every exchange, which kept all
    // hosts busy with reading the records.
    const times = requestTimes(new RefillBackoff(), 0);
    expect(times.length).toBeLessThan(11);
    expect(times.at(-1)).toBeGreaterThan(LOAD_MILLISECONDS - 4_100);
  });

  it('requests without a pause while the log grants refills', () => {
    const backoff = new RefillBackoff();
    expect(requestTimes(backoff, 1)).toHaveLength(
      Math.ceil(LOAD_MILLISECONDS / EXCHANGE_MILLISECONDS),
    );
  });

  it('restarts with the minimum pause after a grant', () => {
    const backoff = new RefillBackoff();
    backoff.recordVerdict(0, 0);
    backoff.recordVerdict(0, 250);
    backoff.recordVerdict(1, 750);
    expect(backoff.mayRequest(750)).toBe(true);
    backoff.recordVerdict(0, 750);
    expect(backoff.mayRequest(999)).toBe(false);
    expect(backoff.mayRequest(1_000)).toBe(true);
  });
});

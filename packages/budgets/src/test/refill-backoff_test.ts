import {describe, expect, it} from 'vitest';

import {RefillBackoff} from '../refill-backoff.js';

const EXCHANGE_MILLISECONDS = 30;
const LOAD_MILLISECONDS = 20_000;

/** Requests a refill in each exchange that allows it; returns the request times. */
function requestTimes(pacing: RefillBackoff, granted: number): number[] {
  const times: number[] = [];
  for (let now = 0; now < LOAD_MILLISECONDS; now += EXCHANGE_MILLISECONDS) {
    if (pacing.mayRequest(now)) {
      pacing.recordVerdict(granted, now);
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
    const pacing = new RefillBackoff();
    expect(requestTimes(pacing, 1)).toHaveLength(
      Math.ceil(LOAD_MILLISECONDS / EXCHANGE_MILLISECONDS),
    );
  });

  it('restarts with the minimum pause after a grant', () => {
    const pacing = new RefillBackoff();
    pacing.recordVerdict(0, 0);
    pacing.recordVerdict(0, 250);
    pacing.recordVerdict(1, 750);
    expect(pacing.mayRequest(750)).toBe(true);
    pacing.recordVerdict(0, 750);
    expect(pacing.mayRequest(999)).toBe(false);
    expect(pacing.mayRequest(1_000)).toBe(true);
  });
});

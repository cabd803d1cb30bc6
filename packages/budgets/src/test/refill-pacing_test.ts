import {describe, expect, it} from 'vitest';

import {RefillPacing} from '../refill-pacing.js';

const EXCHANGE_MILLISECONDS = 30;
const LOAD_MILLISECONDS = 20_000;

/** Asks in each exchange that lets it; the times of the asks. */
function asks(pacing: RefillPacing, granted: number): number[] {
  const times: number[] = [];
  for (let now = 0; now < LOAD_MILLISECONDS; now += EXCHANGE_MILLISECONDS) {
    if (pacing.mayAsk(now)) {
      pacing.decided(granted, now);
      times.push(now);
    }
  }
  return times;
}

describe('RefillPacing', () => {
  it('asks seldom while the log gives nothing', () => {
    // Each of 61 hosts asked in every exchange, and all were busy with the records.
    const times = asks(new RefillPacing(), 0);
    expect(times.length).toBeLessThan(11);
    expect(times.at(-1)).toBeGreaterThan(LOAD_MILLISECONDS - 4_100);
  });

  it('asks without a pause while the log gives', () => {
    const pacing = new RefillPacing();
    expect(asks(pacing, 1)).toHaveLength(
      Math.ceil(LOAD_MILLISECONDS / EXCHANGE_MILLISECONDS),
    );
  });

  it('begins with a short pause after a grant', () => {
    const pacing = new RefillPacing();
    pacing.decided(0, 0);
    pacing.decided(0, 250);
    pacing.decided(1, 750);
    expect(pacing.mayAsk(750)).toBe(true);
    pacing.decided(0, 750);
    expect(pacing.mayAsk(999)).toBe(false);
    expect(pacing.mayAsk(1_000)).toBe(true);
  });
});

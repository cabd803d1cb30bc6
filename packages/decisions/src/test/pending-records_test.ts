import {describe, expect, it} from 'vitest';

import {PendingRecords} from '../index.js';

describe('PendingRecords', () => {
  it('counts from when the oldest missing record was known', () => {
    // Guards against a host that refuses everything while versions follow each other.
    const pending = new PendingRecords();
    let longest = 0;
    for (let now = 0; now < 10_000; now += 100) {
      // A version each 300 ms, known at once and delivered 600 ms later.
      pending.learned(1 + Math.floor(now / 300), now);
      pending.delivered(Math.floor((now - 600) / 300));
      longest = Math.max(longest, now - (pending.since ?? now));
    }
    expect(pending.since).toBeDefined();
    expect(longest).toBeLessThan(1_000);
  });

  it('goes on counting while the same record is missing', () => {
    // Guards against a read that never ends and begins anew.
    const pending = new PendingRecords();
    for (let now = 0; now <= 5_000; now += 100) {
      pending.learned(1, now);
    }
    expect(pending.since).toBe(0);
    pending.delivered(1);
    expect(pending.since).toBeUndefined();
  });
});

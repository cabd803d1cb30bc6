import {describe, expect, it} from 'vitest';

import {RequestTally} from '../request-tally.js';

function line(second: number, outcome: string, status: number, bound = 10) {
  const time = new Date(second * 1_000).toISOString();
  return JSON.stringify({time, event: 'request', outcome, status, bound});
}

describe('RequestTally', () => {
  it('ranks outcomes by requests and finds the worst time window', () => {
    // Most refusals are budget-unavailable, in an outage that starts at 20 s.
    const tally = new RequestTally(2_000);
    [
      line(1, 'answered', 200),
      line(2, 'answered', 200),
      line(3, 'own: budget-unavailable', 503),
      `host-1 ${line(20, 'own: budget-unavailable', 503, 50)}`,
      line(21, 'own: budget-unavailable', 503, 50),
      line(22, 'own: timed-out', 504),
    ].forEach(text => {
      tally.add(text);
    });
    const [first, second] = tally.result();
    expect(first).toEqual({
      outcome: 'own: budget-unavailable',
      status: 503,
      requests: 3,
      boundTokens: 110,
      part: 0.5,
      worstAt: '1970-01-01T00:00:20.000Z',
      worstRequests: 2,
    });
    expect(second?.outcome).toBe('answered');
  });

  it('ignores lines that are not of a finished request', () => {
    const tally = new RequestTally(2_000);
    ['', 'Warning: {', '{"event":"started"}', '{"event":"request"}'].forEach(
      text => {
        tally.add(text);
      },
    );
    expect(tally.result()).toEqual([]);
  });
});

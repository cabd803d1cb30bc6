import {describe, expect, it} from 'vitest';

import {EndpointTrust, failsMoreThanOthers} from '../endpoint-trust.js';

describe('EndpointTrust', () => {
  it('pauses after a break, tries one request, and trusts a good answer', () => {
    const trust = new EndpointTrust();
    trust.broke(0);
    expect(trust.isTrusted(499)).toBe(false);
    expect(trust.isTrusted(500)).toBe(true);
    trust.sent();
    expect(trust.isTrusted(501)).toBe(false);
    trust.succeeded();
    expect(trust.isTrusted(502)).toBe(true);
    expect(trust.isOnTrial).toBe(false);
  });

  it('tries an endpoint that stays away at least every four seconds', () => {
    // Load: an endpoint is dark for minutes. Harm: pauses that double without an end
    // keep it out long after it is back.
    const trust = new EndpointTrust();
    let now = 0;
    for (let round = 0; round < 10; round++) {
      trust.broke(now);
      expect(trust.isTrusted(now + 4_000)).toBe(true);
      now += 4_000;
    }
  });

  it('counts many breaks at one moment as one', () => {
    const trust = new EndpointTrust();
    for (let request = 0; request < 20; request++) {
      trust.broke(0);
    }
    expect(trust.isTrusted(500)).toBe(true);
  });
});

describe('failsMoreThanOthers', () => {
  it('judges an endpoint by the others of its service', () => {
    expect(failsMoreThanOthers(0.6, [0.14, 0.16, 0.15, 0.6])).toBe(true);
    expect(failsMoreThanOthers(0.16, [0.14, 0.16, 0.15, 0.13])).toBe(false);
  });
});

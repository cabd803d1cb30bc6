import {describe, expect, it} from 'vitest';

import {EndpointTrust, failedShareLimit} from '../endpoint-trust.js';

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

describe('an endpoint that falls silent', () => {
  it('gets nothing more, though no connection breaks', () => {
    // Load: a data centre is cut off and packets are dropped. Its endpoint took a
    // request and says nothing; others would follow it until their time is over.
    const trust = new EndpointTrust();
    trust.sent();
    trust.fellSilent(150);
    expect(trust.isTrusted(151)).toBe(false);
    expect(trust.isOnTrial).toBe(true);
  });

  it('is trusted at once when it speaks after all', () => {
    const trust = new EndpointTrust();
    trust.fellSilent(150);
    trust.spoke();
    expect(trust.isTrusted(151)).toBe(true);
    expect(trust.isOnTrial).toBe(false);
  });

  it('stays paused after a break, whatever else it answers', () => {
    // Load: an endpoint breaks off four in ten of its answers. The other six must not
    // bring it back at once.
    const trust = new EndpointTrust();
    trust.broke(0);
    trust.spoke();
    expect(trust.isTrusted(1)).toBe(false);
  });
});

describe('failedShareLimit', () => {
  it('judges an endpoint by the others of its service', () => {
    expect(0.6).toBeGreaterThan(failedShareLimit([0.14, 0.16, 0.15, 0.6]));
    expect(0.16).toBeLessThanOrEqual(
      failedShareLimit([0.14, 0.16, 0.15, 0.13]),
    );
  });
});

import {describe, expect, it} from 'vitest';

import {EndpointTrust, failedShareLimit} from '../endpoint-trust.js';

describe('EndpointTrust', () => {
  it('opens after a broken connection, allows one trial, and closes after a success', () => {
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

  it('allows a trial at least every four seconds', () => {
    // Guards against pauses that double without a bound, which would keep an
    // endpoint that was unreachable for minutes out of use long after it is
    // back.
    const trust = new EndpointTrust();
    let now = 0;
    for (let round = 0; round < 10; round++) {
      trust.broke(now);
      expect(trust.isTrusted(now + 4_000)).toBe(true);
      now += 4_000;
    }
  });

  it('counts simultaneous failures as one', () => {
    const trust = new EndpointTrust();
    for (let request = 0; request < 20; request++) {
      trust.broke(0);
    }
    expect(trust.isTrusted(500)).toBe(true);
  });
});

describe('EndpointTrust with a silent endpoint', () => {
  it('opens although no connection breaks', () => {
    // A data centre is cut off and packets are dropped. Its endpoint accepted a
    // request and sends nothing; further requests would be sent there until
    // their callers time out.
    const trust = new EndpointTrust();
    trust.sent();
    trust.fellSilent(150);
    expect(trust.isTrusted(151)).toBe(false);
    expect(trust.isOnTrial).toBe(true);
  });

  it('closes at once when the endpoint responds', () => {
    const trust = new EndpointTrust();
    trust.fellSilent(150);
    trust.spoke();
    expect(trust.isTrusted(151)).toBe(true);
    expect(trust.isOnTrial).toBe(false);
  });

  it('stays open after a broken connection, whatever else the endpoint answers', () => {
    // Guards against an endpoint that breaks four in ten of its answers and is
    // used again at once because of the other six.
    const trust = new EndpointTrust();
    trust.broke(0);
    trust.spoke();
    expect(trust.isTrusted(1)).toBe(false);
  });
});

describe('failedShareLimit', () => {
  it('compares an endpoint with the others of its service', () => {
    expect(0.6).toBeGreaterThan(failedShareLimit([0.14, 0.16, 0.15, 0.6]));
    expect(0.16).toBeLessThanOrEqual(
      failedShareLimit([0.14, 0.16, 0.15, 0.13]),
    );
  });
});

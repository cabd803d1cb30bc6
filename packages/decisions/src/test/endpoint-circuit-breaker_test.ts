import {describe, expect, it} from 'vitest';

import {
  EndpointCircuitBreaker,
  failedShareLimit,
} from '../endpoint-circuit-breaker.js';

describe('EndpointCircuitBreaker', () => {
  it('opens after a broken connection, allows one trial, and closes after a success', () => {
    const breaker = new EndpointCircuitBreaker();
    breaker.recordConnectionFailure(0);
    expect(breaker.isAvailable(499)).toBe(false);
    expect(breaker.isAvailable(500)).toBe(true);
    breaker.requestSent();
    expect(breaker.isAvailable(501)).toBe(false);
    breaker.recordSuccess();
    expect(breaker.isAvailable(502)).toBe(true);
    expect(breaker.isTripped).toBe(false);
  });

  it('allows a trial at least every four seconds', () => {
    // Guards against pauses that double without a bound, which would keep an
    // endpoint that was unreachable for minutes out of use long after it is
    // back.
    const breaker = new EndpointCircuitBreaker();
    let now = 0;
    for (let round = 0; round < 10; round++) {
      breaker.recordConnectionFailure(now);
      expect(breaker.isAvailable(now + 4_000)).toBe(true);
      now += 4_000;
    }
  });

  it('counts simultaneous failures as one', () => {
    const breaker = new EndpointCircuitBreaker();
    for (let request = 0; request < 20; request++) {
      breaker.recordConnectionFailure(0);
    }
    expect(breaker.isAvailable(500)).toBe(true);
  });
});

describe('EndpointCircuitBreaker with a silent endpoint', () => {
  it('opens although no connection breaks', () => {
    // A data centre is cut off and packets are dropped. Its endpoint accepted a
    // request and sends nothing; further requests would be sent there until
    // their callers time out.
    const breaker = new EndpointCircuitBreaker();
    breaker.requestSent();
    breaker.recordSilence(150);
    expect(breaker.isAvailable(151)).toBe(false);
    expect(breaker.isTripped).toBe(true);
  });

  it('closes at once when the endpoint responds', () => {
    const breaker = new EndpointCircuitBreaker();
    breaker.recordSilence(150);
    breaker.recordResponse();
    expect(breaker.isAvailable(151)).toBe(true);
    expect(breaker.isTripped).toBe(false);
  });

  it('stays open after a broken connection, whatever else the endpoint answers', () => {
    // Guards against an endpoint that breaks four in ten of its answers and is
    // used again at once because of the other six.
    const breaker = new EndpointCircuitBreaker();
    breaker.recordConnectionFailure(0);
    breaker.recordResponse();
    expect(breaker.isAvailable(1)).toBe(false);
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

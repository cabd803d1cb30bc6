import {LimitTurns, SpeedSource} from '@wisteriadeal/decisions';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {beforeEach, describe, expect, it} from 'vitest';

import {
  StatedAdmission,
  WithholdingReason,
} from '../endpoint-statements/index.js';
import {KnownEndpoint} from '../known-endpoint.js';
import {loneHostPlaces} from './lone-host-places.js';

const NOW = 0;

describe('StatedAdmission', () => {
  let endpoint: KnownEndpoint;
  let admission: StatedAdmission;

  beforeEach(() => {
    endpoint = new KnownEndpoint({
      id: 'i-1',
      service: 'models',
      address: '127.0.0.1',
      port: 1,
      dataCenter: 'a',
      slots: 1,
      isLeaving: false,
      bornAt: 1,
      sequence: undefined,
      build: 'v1',
      coldMilliseconds: undefined,
      ignoredFields: [],
    });
    admission = new StatedAdmission({
      limits: new LimitTurns(),
      places: loneHostPlaces(),
      place: () => ({rank: 0, hosts: 1}),
      clock: new FakeClock(),
    });
  });

  const retryAfter = (fraction = 0) =>
    admission.retryAfterMilliseconds([endpoint], fraction);

  it('sends callers back when the rest of an endpoint is over, not before', () => {
    // Guards against callers that come back to a rest that goes on.
    endpoint.conditions.rest.asked(1_200, NOW);
    expect(admission.reasonAgainst(endpoint)).toBe(WithholdingReason.Rest);
    expect(retryAfter()).toBe(1_200);
    expect(retryAfter(0.5)).toBe(1_500);
  });

  it('forgets how slow an endpoint was that asks for rest', () => {
    // Guards against an endpoint that stays shunned for what it has recovered from.
    endpoint.work.observe(1, 1, SpeedSource.FirstEvent, NOW);
    expect(endpoint.work.slowness(0, NOW)).toBeGreaterThan(1);
    endpoint.askedForRest(1_200, NOW);
    expect(endpoint.work.slowness(0, NOW)).toBe(1);
  });

  it('sends callers back when an endpoint takes the next request of any host', () => {
    endpoint.conditions.limit.answered(1, NOW, NOW);
    expect(retryAfter()).toBe(1_000);
    endpoint.conditions.limit.answered(0, NOW, NOW);
    expect(retryAfter()).toBe(2_000);
    endpoint.conditions.limit.answered(50, NOW, NOW);
    expect(retryAfter()).toBe(300);
  });

  it('sends callers back soon while the first request after a rest is open', () => {
    endpoint.conditions.rest.asked(100, NOW - 200);
    admission.requestSent(endpoint, 0);
    expect(admission.reasonAgainst(endpoint)).toBe(WithholdingReason.Rest);
    expect(retryAfter()).toBe(300);
  });
});

import {LimitTurns} from '@wisteriadeal/decisions';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {beforeEach, describe, expect, it} from 'vitest';

import {StatedAdmission} from '../endpoint-statements/index.js';
import {KnownEndpoint} from '../known-endpoint.js';

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
      build: 'v1',
      coldMilliseconds: undefined,
      ignoredFields: [],
    });
    admission = new StatedAdmission({
      limits: new LimitTurns(),
      place: () => ({rank: 0, hosts: 1}),
      clock: new FakeClock(),
    });
  });

  const retryAfter = () => admission.retryAfterMilliseconds([endpoint], 0);

  it('sends callers back when an endpoint takes the next request of any host', () => {
    endpoint.conditions.limit.answered(1, NOW, NOW);
    expect(retryAfter()).toBe(1_000);
    endpoint.conditions.limit.answered(0, NOW, NOW);
    expect(retryAfter()).toBe(2_000);
    endpoint.conditions.limit.answered(50, NOW, NOW);
    expect(retryAfter()).toBe(300);
  });
});

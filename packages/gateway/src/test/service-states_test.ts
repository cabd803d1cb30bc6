import {describe, expect, it} from 'vitest';

import {ServiceStates} from '../service-states.js';

const LIMITS = {ratio: 0, extra: 2, windowMilliseconds: 10_000};

describe('ServiceStates', () => {
  it('keeps what it learned of a service when bounds on resends change', () => {
    // The caller's stream is not moved too soon. Settings are read again while the
    // service is slow; how slow it is has nothing to do with them.
    const states = new ServiceStates(LIMITS);
    const {firstEvents} = states.of('models');
    states.limitResends({...LIMITS, extra: 0});
    expect(states.of('models').firstEvents).toBe(firstEvents);
    expect(states.of('models').resends.take(1, 0)).toBe(false);
  });
});

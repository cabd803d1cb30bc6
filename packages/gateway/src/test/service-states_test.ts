import {describe, expect, it} from 'vitest';

import {ServiceStates} from '../service-states.js';

const LIMITS = {
  resendsPerRequest: 0,
  extraResends: 2,
  windowMilliseconds: 10_000,
};

describe('ServiceStates', () => {
  it('keeps latency estimates when the limits on resends change', () => {
    // Guards against a stream that fails over too early. When settings are
    // reloaded while the service is slow, its latency estimates must survive,
    // as they do not depend on settings.
    const states = new ServiceStates(LIMITS);
    const {firstEventLatency} = states.stateOf('models');
    states.setResendLimits({...LIMITS, extraResends: 0});
    expect(states.stateOf('models').firstEventLatency).toBe(firstEventLatency);
    expect(states.stateOf('models').resends.tryTake(1, 0)).toBe(false);
  });

  it('counts resends from before a reload of the settings', () => {
    // Guards against a second budget within the window after each reload.
    const states = new ServiceStates(LIMITS);
    expect(states.stateOf('models').resends.tryTake(1, 0)).toBe(true);
    states.setResendLimits({...LIMITS});
    expect(states.stateOf('models').resends.tryTake(1, 1)).toBe(false);
  });
});

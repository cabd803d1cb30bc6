import {describe, expect, it} from 'vitest';

import {LimitChange, StatedLimit} from '../endpoint-statements/index.js';

describe('StatedLimit', () => {
  it('ends with an answer to a request that was sent after it was named', () => {
    // Guards against an answer without a limit that was begun before it and comes later.
    const limit = new StatedLimit();
    expect(limit.answered(2, 100, 200)).toBe(LimitChange.Named);
    expect(limit.answered(undefined, 150, 250)).toBe(LimitChange.None);
    expect(limit.requestsPerSecond).toBe(2);
    expect(limit.answered(undefined, 210, 260)).toBe(LimitChange.Ended);
    expect(limit.requestsPerSecond).toBe(undefined);
  });

  it('changes with the latest answer that names one', () => {
    const limit = new StatedLimit();
    limit.answered(2, 100, 200);
    expect(limit.answered(2, 200, 300)).toBe(LimitChange.None);
    expect(limit.answered(0, 300, 400)).toBe(LimitChange.Changed);
    expect(limit.requestsPerSecond).toBe(0);
    expect(limit.ageMilliseconds(450)).toBe(50);
  });

  it('is none before one is named', () => {
    const limit = new StatedLimit();
    expect(limit.answered(undefined, 100, 200)).toBe(LimitChange.None);
    expect(limit.requestsPerSecond).toBe(undefined);
  });
});

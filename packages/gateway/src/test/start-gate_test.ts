import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {StartGate} from '../start-gate.js';

let gate: StartGate;
let hasPassed: boolean;

beforeEach(() => {
  vi.useFakeTimers();
  gate = new StartGate(['configuration', 'endpoints']);
  hasPassed = false;
  void gate.passed().then(() => {
    hasPassed = true;
  });
});

afterEach(() => {
  gate.close();
  vi.useRealTimers();
});

describe('StartGate', () => {
  it('holds requests until all that is needed is known', async () => {
    // The caller is served, and not told that there is no configuration: it came a
    // moment before the store's first answer did.
    gate.openAfter(400);
    gate.met('configuration');
    await vi.advanceTimersByTimeAsync(10);
    expect(hasPassed).toBe(false);
    gate.met('endpoints');
    await vi.advanceTimersByTimeAsync(0);
    expect(hasPassed).toBe(true);
  });

  it('holds nobody for longer than a start takes', async () => {
    // The caller is refused soon, with when to come back: the store is away.
    gate.openAfter(400);
    await vi.advanceTimersByTimeAsync(399);
    expect(hasPassed).toBe(false);
    await vi.advanceTimersByTimeAsync(1);
    expect(hasPassed).toBe(true);
  });
});

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {StartGate} from '../start-gate.js';

let gate: StartGate;
let hasPassed: boolean;

beforeEach(() => {
  vi.useFakeTimers();
  gate = new StartGate(['configuration', 'endpoints']);
  hasPassed = false;
  void gate.whenOpen().then(() => {
    hasPassed = true;
  });
});

afterEach(() => {
  gate.close();
  vi.useRealTimers();
});

describe('StartGate', () => {
  it('holds requests until all requirements are met', async () => {
    // Guards against refusing a caller for lack of a configuration when its
    // request arrives just before the store's first answer.
    gate.openAfter(400);
    gate.requirementMet('configuration');
    await vi.advanceTimersByTimeAsync(10);
    expect(hasPassed).toBe(false);
    gate.requirementMet('endpoints');
    await vi.advanceTimersByTimeAsync(0);
    expect(hasPassed).toBe(true);
  });

  it('holds requests no longer than the time limit', async () => {
    // If the store is unreachable, the caller is soon refused with a retry
    // delay.
    gate.openAfter(400);
    await vi.advanceTimersByTimeAsync(399);
    expect(hasPassed).toBe(false);
    await vi.advanceTimersByTimeAsync(1);
    expect(hasPassed).toBe(true);
  });
});

import {expect, it} from 'vitest';

import {replayRisingLoad, SECONDS} from './rising-load.js';

const ORGANISATIONS = 12;
const TEST_MILLISECONDS = 120_000;

it.each([8, 32])(
  'raises ceilings with few calls and before grants wait for them at %d hosts',
  async hosts => {
    // Guards against a write of checkpoints for each host whose grants wait for it: the
    // store limits the calls of all hosts together.
    const result = await replayRisingLoad(hosts, ORGANISATIONS);
    expect(result.overspent).toBe(0);
    expect(result.refusedWithBudget).toBe(0);
    expect(result.withheldGrants).toBeLessThan(0.002 * result.served);
    expect(result.checkpointWrites + result.checkpointConflicts).toBeLessThan(
      1.5 * SECONDS,
    );
    expect(result.checkpointReads).toBeLessThan(hosts + 2 * SECONDS);
  },
  TEST_MILLISECONDS,
);

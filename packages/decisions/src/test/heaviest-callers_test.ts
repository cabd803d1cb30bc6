import {describe, expect, it} from 'vitest';

import {HeaviestCallers} from '../rotation/index.js';

const COUNTS = {heavy: 600, middle: 300, light: 100};
const DRAWS = 1_000;

function closedShares(share: number): Readonly<Record<string, number>> {
  const callers = new HeaviestCallers();
  for (const [caller, count] of Object.entries(COUNTS)) {
    for (let request = 0; request < count; request++) {
      callers.record(caller, 0);
    }
  }
  return Object.fromEntries(
    Object.keys(COUNTS).map(caller => {
      const draws = Array.from({length: DRAWS}, (_, draw) =>
        callers.closes(caller, share, draw / DRAWS, 1_000),
      );
      return [caller, draws.filter(Boolean).length / DRAWS];
    }),
  );
}

describe('HeaviestCallers', () => {
  it.each([
    {share: 0.3, heavy: 0.5, middle: 0, light: 0},
    {share: 0.75, heavy: 1, middle: 0.5, light: 0},
    {share: 1, heavy: 1, middle: 1, light: 1},
  ])(
    'closes $share of all answers, those of the heaviest first',
    ({share, ...expected}) => {
      // Guards against closing connections of callers that are no load.
      const closed = closedShares(share);
      for (const [caller, part] of Object.entries(expected)) {
        expect(closed[caller]).toBeCloseTo(part, 2);
      }
    },
  );

  it('forgets requests after some seconds', () => {
    // Guards against closing connections of a caller whose burst has ended.
    const callers = new HeaviestCallers();
    callers.record('earlier', 0);
    callers.record('now', 6_000);
    expect(callers.closes('now', 0.5, 0.4, 6_000)).toBe(true);
    expect(callers.closes('earlier', 0.5, 0.4, 6_000)).toBe(false);
  });
});

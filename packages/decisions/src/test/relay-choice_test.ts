import {describe, expect, it} from 'vitest';

import {chooseRelay, type RelayCandidate} from '../relay-choice.js';

const OWN = 'kigali-a';
const OTHER = 'kigali-b';

/** Pseudorandom numbers in [0, 1) that are the same in each run. */
function repeatableFraction(): () => number {
  let state = 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function candidate(
  address: string,
  dataCenter: string,
  isAvailable = true,
  openConnections = 0,
): RelayCandidate {
  const isDoubtful = false;
  return {address, dataCenter, isAvailable, isDoubtful, openConnections};
}

describe('chooseRelay', () => {
  it('uses hosts of other data centres only if no own one is available', () => {
    const own = candidate('own', OWN);
    const other = candidate('other', OTHER);
    const fraction = repeatableFraction();
    expect(chooseRelay([other, own], OWN, fraction)).toBe(own);
    const unavailable = {...own, isAvailable: false};
    expect(chooseRelay([other, unavailable], OWN, fraction)).toBe(other);
    expect(chooseRelay([unavailable], OWN, fraction)).toBeUndefined();
  });

  it('uses hosts of a doubtful data centre last', () => {
    const own = {...candidate('own', OWN), isDoubtful: true};
    const other = candidate('other', OTHER);
    const fraction = repeatableFraction();
    expect(chooseRelay([own, other], OWN, fraction)).toBe(other);
    expect(chooseRelay([own], OWN, fraction)).toBe(own);
  });

  it('spreads the connections of many cut hosts over the others', () => {
    // Guards against hosts that are filled by the callers of cut ones.
    const fraction = repeatableFraction();
    const relays = Array.from({length: 20}, (_, index) => `relay-${index}`);
    const perRelay = new Map<string, number>();
    const perCutHost = 40;
    for (let host = 0; host < 20; host++) {
      const own = new Map<string, number>();
      for (let connection = 0; connection < perCutHost; connection++) {
        const chosen = chooseRelay(
          relays.map(address =>
            candidate(address, OWN, true, own.get(address) ?? 0),
          ),
          OWN,
          fraction,
        );
        const address = chosen?.address ?? '';
        own.set(address, (own.get(address) ?? 0) + 1);
        perRelay.set(address, (perRelay.get(address) ?? 0) + 1);
      }
    }
    expect(Math.max(...perRelay.values())).toBeLessThanOrEqual(
      1.5 * perCutHost,
    );
  });
});

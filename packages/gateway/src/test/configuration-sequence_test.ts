import {describe, expect, it} from 'vitest';

import {ConfigurationSequence} from '../stream-origins/index.js';

const value = new Uint8Array();
const recordAt = (offset: number, key = 'config') => ({key, value, offset});

describe('configurations that a host reads', () => {
  it.each([
    {name: 'the change after the last one', read: 3, offsets: [3], to: 4},
    {name: 'two keys that changed once each', read: 3, offsets: [3, 4], to: 5},
    {name: 'one of two changes', read: 3, offsets: [4], to: 5, isMissed: true},
    {
      name: 'no change that is left',
      read: 3,
      offsets: [2],
      to: 4,
      isMissed: true,
    },
    {name: 'nothing new', read: 3, offsets: [2], to: 3},
    {name: 'a list at the start', read: 0, offsets: [4], to: 5},
    {name: 'the whole topic', read: 0, offsets: [0, 1], to: 2, isWhole: true},
  ])(
    'are known to be missing or not after $name',
    ({read, offsets, to, isMissed = false, isWhole = false}) => {
      // Guards against versions that came and went unread and count as never in force.
      const seen = {isMissed: false, isWhole: false};
      const sequence = new ConfigurationSequence({
        onMissed: () => {
          seen.isMissed = true;
        },
        onWhole: () => {
          seen.isWhole = true;
        },
      });
      if (read > 0) {
        sequence.changed(recordAt(read - 1));
      }
      sequence.replaced(
        offsets.map(offset => recordAt(offset, `key-${offset}`)),
        to,
      );
      expect(seen).toEqual({isMissed, isWhole});
    },
  );
});

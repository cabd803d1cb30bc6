import {describe, expect, it} from 'vitest';

import {isReadSlow} from '../index.js';

const APPLY_MILLISECONDS = 3_000;

describe('isReadSlow', () => {
  it.each([
    {
      link: 'an idle one of 10 Mbit/s',
      bytesPerSecond: 1_250_000,
      isSlow: false,
    },
    {link: 'one with callers', bytesPerSecond: 600_000, isSlow: false},
    {link: 'a full one', bytesPerSecond: 160_000, isSlow: true},
    {link: 'a dead one', bytesPerSecond: 0, isSlow: true},
  ])(
    'judges a version of 0.58 MB over $link after 0.2 s',
    ({bytesPerSecond, isSlow}) => {
      // Guards against waiting for a read until its version is too late.
      const progress = {
        elapsedMilliseconds: 200,
        receivedBytes: bytesPerSecond / 5,
        totalBytes: 580_000,
      };
      expect(isReadSlow(progress, APPLY_MILLISECONDS)).toBe(isSlow);
    },
  );

  it('does not judge by the first packets', () => {
    // Guards against asking other hosts at each change.
    const progress = {
      elapsedMilliseconds: 20,
      receivedBytes: 1_400,
      totalBytes: 580_000,
    };
    expect(isReadSlow(progress, APPLY_MILLISECONDS)).toBe(false);
  });

  it('judges a response of unknown size, or none, by its time', () => {
    // Guards against a store that announces no size, or that gives no answer.
    const progress = {receivedBytes: 0, totalBytes: undefined};
    const slowAfter = (elapsedMilliseconds: number) =>
      isReadSlow({...progress, elapsedMilliseconds}, APPLY_MILLISECONDS);
    expect(slowAfter(900)).toBe(false);
    expect(slowAfter(1_100)).toBe(true);
  });
});

import {describe, expect, it} from 'vitest';

import {SystemClock} from '../system-clock.js';

describe('SystemClock', () => {
  it.each([[2 ** 31], [1e15]])(
    'sleeps on where a timer can not wait for %d ms',
    async milliseconds => {
      // The caller's answer is cut: a stop whose grace is very long ends at once.
      const clock = new SystemClock();
      const giveUp = new AbortController();
      let isAwake = false;
      const slept = clock.sleep(milliseconds, giveUp.signal).then(() => {
        isAwake = true;
      });
      await clock.sleep(20);
      expect(isAwake).toBe(false);
      giveUp.abort();
      await slept;
    },
  );
});

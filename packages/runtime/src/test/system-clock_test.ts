import {describe, expect, it} from 'vitest';

import {SystemClock} from '../system-clock.js';

describe('SystemClock', () => {
  it.each([[2 ** 31], [1e15]])(
    'does not return at once from a sleep of %d ms, longer than a timer supports',
    async milliseconds => {
      // Guards against answers that are cut because a shutdown with a very long grace
      // period ends at once: a longer timer than the maximum fires immediately.
      const clock = new SystemClock();
      const controller = new AbortController();
      let isAwake = false;
      const slept = clock.sleep(milliseconds, controller.signal).then(() => {
        isAwake = true;
      });
      await clock.sleep(20);
      expect(isAwake).toBe(false);
      controller.abort();
      await slept;
    },
  );
});

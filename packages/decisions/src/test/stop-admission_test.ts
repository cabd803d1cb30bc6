import {fc, test} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';

import {StopAdmission} from '../stop-admission.js';

const NOTICE_PERIOD_ENDS_AT = 2_600;
const ABORT_AT = 6_800;

const admission = new StopAdmission(NOTICE_PERIOD_ENDS_AT, ABORT_AT);
const milliseconds = fc.integer({min: 0, max: 20_000});

describe('StopAdmission', () => {
  it('accepts streams of callers that cannot know about the shutdown yet', () => {
    // Guards against refusals by one host after another when most hosts stop at
    // once.
    const stream = {typicalMilliseconds: 1_500, maximumMilliseconds: 15_000};
    expect(admission.admits(0, stream)).toBe(true);
    expect(admission.admits(NOTICE_PERIOD_ENDS_AT - 1, stream)).toBe(true);
  });

  test.prop([milliseconds, milliseconds, milliseconds])(
    'accepts no request after the notice period that could be aborted',
    (now, typicalMilliseconds, maximumMilliseconds) => {
      // Guards against a stream that takes longer than usual and is aborted.
      fc.pre(now >= NOTICE_PERIOD_ENDS_AT);
      const expected = {typicalMilliseconds, maximumMilliseconds};
      expect(admission.admits(now, expected)).toBe(
        now + maximumMilliseconds <= ABORT_AT,
      );
    },
  );

  test.prop([milliseconds, milliseconds])(
    'accepts every request whose time limit ends before the abort',
    (now, typicalMilliseconds) => {
      // Guards against refusing requests that could have been served.
      fc.pre(now <= ABORT_AT);
      const maximumMilliseconds = ABORT_AT - now;
      const expected = {typicalMilliseconds, maximumMilliseconds};
      expect(admission.admits(now, expected)).toBe(true);
    },
  );
});

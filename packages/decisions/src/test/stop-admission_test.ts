import {fc, test} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';

import {StopAdmission} from '../stop-admission.js';

const NOTICE_ENDS_AT = 2_600;
const CUT_AT = 6_800;

const admission = new StopAdmission(NOTICE_ENDS_AT, CUT_AT);
const milliseconds = fc.integer({min: 0, max: 20_000});

describe('StopAdmission', () => {
  it('takes streams of callers who cannot know of the stop yet', () => {
    // Guards against refusals by host after host where most stop at once.
    const stream = {likelyMilliseconds: 1_500, longestMilliseconds: 15_000};
    expect(admission.admits(0, stream)).toBe(true);
    expect(admission.admits(NOTICE_ENDS_AT - 1, stream)).toBe(true);
  });

  test.prop([milliseconds, milliseconds, milliseconds])(
    'takes none after the notice that could be cut',
    (now, likelyMilliseconds, longestMilliseconds) => {
      // Guards against a stream that takes longer than usual and is cut midway.
      fc.pre(now >= NOTICE_ENDS_AT);
      const expected = {likelyMilliseconds, longestMilliseconds};
      expect(admission.admits(now, expected)).toBe(
        now + longestMilliseconds <= CUT_AT,
      );
    },
  );

  test.prop([milliseconds, milliseconds])(
    'takes whatever its own time limit ends before the cut',
    (now, likelyMilliseconds) => {
      // Guards against refusals of requests that could have been served.
      fc.pre(now <= CUT_AT);
      const longestMilliseconds = CUT_AT - now;
      const expected = {likelyMilliseconds, longestMilliseconds};
      expect(admission.admits(now, expected)).toBe(true);
    },
  );
});

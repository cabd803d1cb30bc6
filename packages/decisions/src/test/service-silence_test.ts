import {expect, it} from 'vitest';

import {ServiceSilence} from '../service-silence.js';

const SAMPLE_MILLISECONDS = 100;

it('detects that all busy endpoints are silent', () => {
  // Guards against a cut that is noticed only by the timeouts of single answers.
  const silence = new ServiceSilence();
  const activity = {busyEndpoints: 3, lastDataAt: 0};
  for (let now = 0; now < 2_000; now += SAMPLE_MILLISECONDS) {
    expect(silence.observe({...activity, lastDataAt: now - 50}, now)).toBe(
      false,
    );
  }
  const lastDataAt = 1_950;
  expect(silence.observe({...activity, lastDataAt}, 2_200)).toBe(false);
  expect(silence.observe({...activity, lastDataAt}, 2_300)).toBe(true);
});

it('does not suspect one silent endpoint', () => {
  // Guards against checks whenever an endpoint falls silent for a second.
  const silence = new ServiceSilence();
  for (let now = 0; now < 3_000; now += SAMPLE_MILLISECONDS) {
    expect(silence.observe({busyEndpoints: 1, lastDataAt: 0}, now)).toBe(false);
  }
});

it('waits after requests were sent to an idle service', () => {
  // Guards against checks at the first requests after a pause.
  const silence = new ServiceSilence();
  expect(silence.observe({busyEndpoints: 0, lastDataAt: 0}, 60_000)).toBe(
    false,
  );
  expect(silence.observe({busyEndpoints: 2, lastDataAt: 0}, 60_100)).toBe(
    false,
  );
  expect(silence.observe({busyEndpoints: 2, lastDataAt: 0}, 60_300)).toBe(
    false,
  );
  expect(silence.observe({busyEndpoints: 2, lastDataAt: 0}, 60_400)).toBe(true);
});

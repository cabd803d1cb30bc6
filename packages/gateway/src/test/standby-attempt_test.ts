import {expect, it} from 'vitest';

import type {EndpointAttempt} from '../endpoint-attempt.js';
import {ConnectionOrigin} from '../endpoint-exchange.js';
import {StandbyAttempt} from '../standby-attempt.js';

/** Time for which two endpoints may work on one stream, milliseconds. */
const ALLOWED_OVERLAP_MILLISECONDS = 400;
const BUSY_MILLISECONDS = 90;

/** An attempt whose endpoint does not answer. */
function attemptWith(cancel: () => void): EndpointAttempt {
  const exchange = {connectionOrigin: ConnectionOrigin.New, cancel};
  return {exchange} as unknown as EndpointAttempt;
}

function keepBusyUntil(at: number): void {
  while (performance.now() < at) {
    // Busy-wait, so that no timer or socket callback runs.
  }
}

it('ends the silent attempt in time though the event loop is late', async () => {
  // Guards against two endpoints that work on one stream for longer than they may.
  const standby = new StandbyAttempt({
    begin: () => ({
      attempt: attemptWith(() => undefined),
      head: new Promise(() => undefined),
      close: () => undefined,
    }),
    mayTakeOver: () => true,
    mayPassOn: () => Promise.resolve(true),
    goesOn: () => Promise.resolve(true),
    failed: () => false,
    tookOver: () => undefined,
    cancelled: () => undefined,
  });
  const startedAt = performance.now();
  let endedAt: number | undefined;
  standby.begin(
    attemptWith(() => {
      endedAt = performance.now();
    }),
  );
  while (endedAt === undefined) {
    keepBusyUntil(performance.now() + BUSY_MILLISECONDS);
    await new Promise(resolve => setImmediate(resolve));
  }
  expect(endedAt - startedAt).toBeLessThan(ALLOWED_OVERLAP_MILLISECONDS);
  expect(standby.take()).toBeDefined();
});

import {FakeClock, MemoryLog, MemoryLogStore} from '@wisteriadeal/stand-ins';

import {ConfigurationBuilder} from '../configuration-builder.js';
import {hashCredential} from '../credential.js';
import type {AppendPatience} from '../confirmed-append.js';

/** Number of ledger streams in these tests. */
export const LEDGER_STREAMS = 4;

export const PATIENCE: AppendPatience = {
  limitMilliseconds: 5_000,
  retryMilliseconds: 500,
};

/**
 * Creates an in-memory log, its store with injectable faults, and a fake clock.
 */
export function createMemoryLog() {
  const clock = new FakeClock();
  const store = new MemoryLogStore(clock);
  return {clock, store, log: new MemoryLog(store, clock)};
}

/**
 * Advances the clock, by 20 s at most, until the promise settles. Returns its
 * value, or the error that it was rejected with.
 */
export async function settle<Value>(
  clock: FakeClock,
  promise: Promise<Value>,
): Promise<Value | Error> {
  let outcome: Value | Error | undefined;
  promise.then(
    value => (outcome = value),
    (error: unknown) => (outcome = error as Error),
  );
  for (let step = 0; step < 200 && outcome === undefined; step++) {
    await clock.advance(100);
  }
  return outcome ?? new Error('the promise did not settle');
}

/** Builds a valid configuration with these organisations. */
export function configurationWith(...organisations: string[]) {
  const fleet = new ConfigurationBuilder();
  const tutor = fleet.modelService('tutor-models', {
    models: [{name: 'tutor-7b', maximumOutputTokens: 64}],
  });
  for (const name of organisations) {
    fleet.organisation(name, {
      openingBudgetTokens: 1_000,
      callers: [
        {name: 'app', credentialSha256: hashCredential(`secret of ${name}`)},
      ],
      services: [tutor],
    });
  }
  return fleet.build();
}

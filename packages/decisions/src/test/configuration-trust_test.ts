import {describe, expect, it} from 'vitest';

import {configurationTrust, ConfigurationTrust} from '../index.js';

const APPLY_MILLISECONDS = 3_000;
const CALM = {
  pendingMilliseconds: undefined,
  unconfirmedMilliseconds: 1_600,
  isStoreOutage: false,
};

function trustOf(age: Partial<Parameters<typeof configurationTrust>[0]>) {
  return configurationTrust({...CALM, ...age}, APPLY_MILLISECONDS);
}

describe('configurationTrust', () => {
  it('is full while the store confirms the configuration', () => {
    // Guards against refusals of requests that no configuration allows.
    expect(trustOf({})).toBe(ConfigurationTrust.Current);
  });

  it('denies nothing once the store has not confirmed it for long', () => {
    // Guards against a 404 of a host that is cut off from the store.
    expect(trustOf({unconfirmedMilliseconds: 2_500})).toBe(
      ConfigurationTrust.MayBeReplaced,
    );
  });

  it('denies nothing while a newer record is read', () => {
    // Guards against a 404 for a route of the version that arrives.
    expect(trustOf({pendingMilliseconds: 10})).toBe(
      ConfigurationTrust.MayBeReplaced,
    );
  });

  it('serves nothing by a version that was replaced long ago', () => {
    // Guards against requests on routes and keys that the newer version drops.
    expect(trustOf({pendingMilliseconds: 1_600})).toBe(
      ConfigurationTrust.Outdated,
    );
  });

  it('goes on serving while the store fails', () => {
    // Guards against a cut data centre that serves nothing.
    expect(trustOf({pendingMilliseconds: 60_000, isStoreOutage: true})).toBe(
      ConfigurationTrust.MayBeReplaced,
    );
  });
});

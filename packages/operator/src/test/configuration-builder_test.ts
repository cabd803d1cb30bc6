import {fromJsonString} from '@bufbuild/protobuf';
import {BudgetPreference, ConfigurationSchema} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {ConfigurationBuilder} from '../configuration-builder.js';
import {validateConfiguration} from '@wisteriadeal/ledger';
import {ConfigurationError} from '../configuration-error.js';
import {hashCredential, mintCredential} from '../credential.js';

function catchConfigurationError(line: () => unknown): ConfigurationError {
  try {
    line();
  } catch (error) {
    if (error instanceof ConfigurationError) {
      return error;
    }
    throw error;
  }
  throw new Error('nothing was thrown');
}

function createSmallFleet() {
  const fleet = new ConfigurationBuilder();
  const tutor = fleet.modelService('tutor-models', {
    models: [{name: 'tutor-7b', maximumOutputTokens: 1_024}],
  });
  const registry = fleet.plainService('registry-app', {
    calls: [
      {
        name: 'issue-certificate',
        method: 'POST',
        path: '/certificates',
        idempotent: false,
        tokens: 5,
        outcomePath: '/outcomes',
      },
    ],
  });
  fleet.endpoint('tutor-1', {
    service: tutor,
    dataCenter: 'kigali-1',
    address: '10.0.0.7:8000',
    slots: 8,
  });
  return {fleet, tutor, registry};
}

describe('ConfigurationBuilder', () => {
  it('prints a configuration that parses back unchanged and is valid', () => {
    const {fleet, tutor, registry} = createSmallFleet();
    fleet.organisation('kigali-bar-school', {
      openingBudgetTokens: 1_000_000,
      callers: [{name: 'trainee-app', secret: 'open sesame, open sesame'}],
      services: [tutor, registry],
      budgetPreference: BudgetPreference.AVOID_REFUSALS,
    });
    let text = '';
    fleet.print(part => (text += part));
    const read = fromJsonString(ConfigurationSchema, text);
    expect(read).toEqual(fleet.build());
    expect(validateConfiguration(read)).toEqual([]);
    expect(text).not.toContain('open sesame, open sesame');
    expect(text).toContain(hashCredential('open sesame, open sesame'));
  });

  it('throws at the invalid call, with the key and what was expected', () => {
    const {fleet, tutor} = createSmallFleet();
    const error = catchConfigurationError(() => {
      fleet.endpoint('tutor-2', {
        service: tutor,
        dataCenter: 'kigali-1',
        address: 'tutor.example:8000',
        slots: 8,
      });
    });
    expect(error.key).toBe('endpoints[1].address');
    expect(error.expected).toContain('IP:port');
    expect(error.callSite).toMatch(/configuration-builder_test\.ts:\d+:\d+$/);
    expect(error.message).toContain('endpoint "tutor-2"');
  });

  it.each([
    ['an undefined service', {services: [{name: 'tutor'}]}],
    ['a fractional budget', {openingBudgetTokens: 0.5}],
    ['a budget beyond 2^53', {openingBudgetTokens: 2 ** 53}],
    ['a weight of 0', {weight: 0}],
    ['a secret that is too short', {callers: [{name: 'app', secret: 'x'}]}],
    ['a malformed hash', {callers: [{name: 'app', credentialSha256: 'ABC'}]}],
  ])('rejects %s', (_, wrong) => {
    const {fleet, tutor} = createSmallFleet();
    const error = catchConfigurationError(() => {
      fleet.organisation('kigali-bar-school', {
        openingBudgetTokens: 1,
        callers: [],
        services: [tutor],
        ...wrong,
      });
    });
    expect(error.key).toContain(Object.keys(wrong)[0]);
  });

  it('rejects a credential of another organisation', () => {
    const {fleet, tutor} = createSmallFleet();
    const {credentialSha256} = mintCredential();
    const options = {
      openingBudgetTokens: 1,
      callers: [{name: 'app', credentialSha256}],
      services: [tutor],
    };
    fleet.organisation('one', options);
    const error = catchConfigurationError(() => {
      fleet.organisation('two', options);
    });
    expect(error.expected).toContain('not that of one/app');
  });

  it('generates a secret together with its hash', () => {
    const {secret, credentialSha256} = mintCredential();
    expect(hashCredential(secret)).toBe(credentialSha256);
    expect(secret).toHaveLength(32);
  });
});

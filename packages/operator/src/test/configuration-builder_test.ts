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
  it('prints a configuration that reads back the same and passes its check', () => {
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

  it('throws at the line of the mistake, naming key and expectation', () => {
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
    ['a service that is not defined', {services: [{name: 'tutor'}]}],
    ['a budget that is not whole', {openingBudgetTokens: 0.5}],
    ['a budget beyond 2^53', {openingBudgetTokens: 2 ** 53}],
    ['a weight of nothing', {weight: 0}],
    ['a secret that can be guessed', {callers: [{name: 'app', secret: 'x'}]}],
    ['a wrong hash', {callers: [{name: 'app', credentialSha256: 'ABC'}]}],
  ])('refuses %s', (_, wrong) => {
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

  it('refuses a credential that another organisation has', () => {
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

  it('mints a secret whose hash goes into the configuration', () => {
    const {secret, credentialSha256} = mintCredential();
    expect(hashCredential(secret)).toBe(credentialSha256);
    expect(secret).toHaveLength(32);
  });
});

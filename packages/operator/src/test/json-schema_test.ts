import {fromJsonString} from '@bufbuild/protobuf';
import {validateConfiguration} from '@wisteriadeal/ledger';
import {
  CommandLineSettingsSchema,
  ConfigurationSchema,
  KeeperSettingsSchema,
  RouterSettingsSchema,
} from '@wisteriadeal/schema';
import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';

import {ConfigurationBuilder, BudgetPreference} from '../index.js';
import {toJsonSchema} from '../json-schema.js';

function fileText(path: string): string {
  return readFileSync(new URL(`../../${path}`, import.meta.url), 'utf8');
}

describe('toJsonSchema', () => {
  it.each([
    ['configuration', ConfigurationSchema],
    ['router', RouterSettingsSchema],
    ['keeper', KeeperSettingsSchema],
    ['command-line', CommandLineSettingsSchema],
  ])('matches the committed JSON Schema of %s', (name, schema) => {
    const committed: unknown = JSON.parse(
      fileText(`json-schema/${name}.schema.json`),
    );
    expect(toJsonSchema(schema)).toEqual(committed);
  });
});

describe('the Python library', () => {
  // The golden file is the output of `python3 example_fleet.py`, whose
  // docstring has the command. CI doesn't run Python, so the golden file is
  // compared here.
  it('prints the same configuration as the TypeScript library', () => {
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
        {
          name: 'look-up-record',
          method: 'GET',
          path: '/records',
          idempotent: true,
          tokens: 1,
        },
      ],
    });
    fleet.endpoint('tutor-1', {
      service: tutor,
      dataCenter: 'kigali-1',
      address: '10.0.0.7:8000',
      slots: 8,
    });
    fleet.endpoint('registry-1', {
      service: registry,
      dataCenter: 'kigali-2',
      address: '10.0.0.8:8000',
      slots: 4,
      checksFencingNumbers: true,
    });
    fleet.organisation('kigali-bar-school', {
      openingBudgetTokens: 1_000_000,
      callers: [{name: 'trainee-app', secret: 'an example, not a secret'}],
      services: [tutor, registry],
      budgetPreference: BudgetPreference.AVOID_REFUSALS,
    });
    const golden = fileText('python/example_fleet.golden.json');
    const configuration = fromJsonString(ConfigurationSchema, golden);
    expect(validateConfiguration(configuration)).toEqual([]);
    expect(configuration).toEqual(fleet.build());
  });
});

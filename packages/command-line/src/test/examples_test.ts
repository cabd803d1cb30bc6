import {
  formatSettingsProblem,
  parseSettings,
  settingsCheckOf,
} from '@wisteriadeal/runtime';
import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';

import {SCHEMAS} from '../schema-names.js';

const EXAMPLES = new URL(
  '../../../../docs/operations/examples/',
  import.meta.url,
);

describe('the example settings in docs/operations/examples', () => {
  it.each(['router', 'keeper', 'gateway', 'command-line'])(
    '%s.jsonc is valid',
    name => {
      const schema = SCHEMAS[name];
      if (schema === undefined) {
        throw new Error(`no schema ${name}`);
      }
      const file = `${name}.jsonc`;
      const text = readFileSync(new URL(file, EXAMPLES), 'utf8');
      const result = parseSettings(schema, text, file, settingsCheckOf(schema));
      expect(result.ok ? [] : result.val.map(formatSettingsProblem)).toEqual(
        [],
      );
    },
  );

  it.each(['router', 'keeper', 'gateway', 'command-line'])(
    '%s.jsonc names every key of its schema',
    name => {
      const text = readFileSync(new URL(`${name}.jsonc`, EXAMPLES), 'utf8');
      const missing = (SCHEMAS[name]?.fields ?? [])
        .map(field => field.jsonName)
        .filter(key => !text.includes(`"${key}"`));
      expect(missing).toEqual([]);
    },
  );
});

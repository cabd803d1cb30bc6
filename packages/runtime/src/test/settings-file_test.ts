import {
  GatewaySettingsSchema,
  RouterSettingsSchema,
} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {formatSettingsProblem, parseSettings} from '../settings-file.js';

function problemsOf(text: string): readonly string[] {
  const result = parseSettings(RouterSettingsSchema, text, 'router.jsonc');
  return result.ok ? [] : result.val.map(formatSettingsProblem);
}

describe('parseSettings', () => {
  it('reads JSON with comments and trailing commas', () => {
    const result = parseSettings(
      RouterSettingsSchema,
      '{\n  // for callers\n  "callerPort": 8080,\n}',
      'router.jsonc',
    );
    expect(result.unwrap().callerPort).toBe(8080);
  });

  it('reports file, line, key and expectation for every problem', () => {
    const text =
      '{\n  "callerPort": "x",\n  "process": {\n    "hots": "a",\n    "logLevel": "LOUD"\n  }\n}';
    expect(problemsOf(text)).toEqual([
      'router.jsonc:2: callerPort: expected a whole number from 0 to 4294967295',
      'router.jsonc:4: process.hots: expected one of the keys host, dataCenter, address, controlPort, metrics, logLevel',
      'router.jsonc:5: process.logLevel: expected one of LOG_LEVEL_ERROR, LOG_LEVEL_WARN, LOG_LEVEL_INFO, LOG_LEVEL_DEBUG',
    ]);
  });

  it('treats null as an absent value', () => {
    const text = '{"callerPort": null, "process": null}';
    const result = parseSettings(RouterSettingsSchema, text, 'router.jsonc');
    expect(result.unwrap().callerPort).toBe(0);
    expect(result.unwrap().process).toBeUndefined();
  });

  it('rejects a number that overflows to infinity', () => {
    const result = parseSettings(
      GatewaySettingsSchema,
      '{"retryBudgetExtra": 1e999}',
      'gateway.jsonc',
    );
    expect(result.ok ? [] : result.val.map(formatSettingsProblem)).toEqual([
      'gateway.jsonc:1: retryBudgetExtra: expected a number of at least 0',
    ]);
  });

  it('reports the line of malformed JSON', () => {
    expect(problemsOf('{\n  "callerPort": 1\n  "x": 2\n}')[0]).toContain(
      'router.jsonc:3: file: expected JSON with comments',
    );
  });

  it('rejects an empty file', () => {
    expect(problemsOf('')).toEqual([
      'router.jsonc:1: file: expected JSON with comments (ValueExpected)',
    ]);
  });
});

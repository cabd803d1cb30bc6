import type {DescMessage} from '@bufbuild/protobuf';
import {
  CommandLineSettingsSchema,
  KeeperSettingsSchema,
  RouterSettingsSchema,
} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {formatSettingsProblem, parseSettings} from '../settings-file.js';
import {settingsCheckOf} from '../settings-rules.js';

const PROCESS = {host: 'h1', dataCenter: 'kigali-1', address: '10.0.0.5'};
const PLATFORM = {
  logUrl: 'http://10.0.0.9:7000',
  hostListUrl: 'http://10.0.0.9:7000',
};

function problemsOf(schema: DescMessage, settings: unknown): readonly string[] {
  const text = JSON.stringify(settings, undefined, 1);
  const check = settingsCheckOf(schema);
  const result = parseSettings(schema, text, 'file.jsonc', check);
  return result.ok ? [] : result.val.map(formatSettingsProblem);
}

describe('settingsCheckOf', () => {
  it('accepts complete settings', () => {
    const keeper = {process: PROCESS, platform: PLATFORM};
    const router = {process: PROCESS, keeperAddress: '10.0.0.5:7101'};
    const operator = {platform: PLATFORM, ledgerStreams: 8, operator: 'aline'};
    expect(problemsOf(KeeperSettingsSchema, keeper)).toEqual([]);
    expect(problemsOf(RouterSettingsSchema, router)).toEqual([]);
    expect(problemsOf(CommandLineSettingsSchema, operator)).toEqual([]);
  });

  it('reports every missing required key at the line of its parent', () => {
    const keys = problemsOf(KeeperSettingsSchema, {process: {}}).map(problem =>
      problem.split(': ').slice(0, 2).join(' '),
    );
    expect(keys).toEqual([
      'file.jsonc:2 process.host',
      'file.jsonc:2 process.dataCenter',
      'file.jsonc:2 process.address',
      'file.jsonc:1 platform',
    ]);
  });

  it.each([
    [RouterSettingsSchema, {keeperAddress: 'keeper:7101'}, 'keeperAddress'],
    [RouterSettingsSchema, {keeperAddress: '10.0.0.5:0'}, 'keeperAddress'],
    [RouterSettingsSchema, {callerPort: 70_000}, 'callerPort'],
    [KeeperSettingsSchema, {seedKeepers: ['10.0.0.5']}, 'seedKeepers.0'],
    [
      KeeperSettingsSchema,
      {heartbeatMilliseconds: 500, heartbeatLimitMilliseconds: 400},
      'heartbeatLimitMilliseconds',
    ],
    [
      KeeperSettingsSchema,
      {platform: {...PLATFORM, logUrl: '10.0.0.9:7000'}},
      'platform.logUrl',
    ],
    [
      KeeperSettingsSchema,
      {process: {...PROCESS, metrics: {address: '10.0.0.8'}}},
      'process.metrics.port',
    ],
  ])('rejects a value of wrong format or range (%#)', (schema, wrong, key) => {
    const complete =
      schema.typeName === RouterSettingsSchema.typeName
        ? {process: PROCESS, keeperAddress: '10.0.0.5:7101'}
        : {process: PROCESS, platform: PLATFORM};
    const problems = problemsOf(schema, {...complete, ...wrong});
    expect(problems).toHaveLength(1);
    expect(problems[0]).toContain(`${key}: expected `);
  });
});

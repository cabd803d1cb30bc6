import {ConfigurationBuilder, hashCredential} from '@wisteriadeal/operator';
import {ExitCode, SystemClock} from '@wisteriadeal/runtime';
import {
  MemoryHostList,
  MemoryLog,
  MemoryLogStore,
} from '@wisteriadeal/stand-ins';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {BudgetExplain} from '../commands/budget-explain.js';
import {BudgetRelease} from '../commands/budget-release.js';
import {Check} from '../commands/check.js';
import {FleetStatus} from '../commands/fleet-status.js';
import {Publish} from '../commands/publish.js';
import {RequestExplain} from '../commands/request-explain.js';
import {TopUp} from '../commands/top-up.js';
import type {CheckedSettings} from '../command-settings.js';
import type {Connections} from '../connections.js';
import {runCommand, temporaryFiles} from './command-runner.js';

const connections = vi.hoisted((): {current: unknown} => ({
  current: undefined,
}));

vi.mock('../connections.js', () => ({
  connect: (settings: CheckedSettings) => ({
    ...(connections.current as Connections),
    settings,
  }),
}));

const SETTINGS = `{
  // Addresses of the platform.
  "platform": {
    "logUrl": "http://127.0.0.1:7000",
    "hostListUrl": "http://127.0.0.1:7000",
    "timeoutMilliseconds": 1000,
  },
  "ledgerStreams": 4,
  "operator": "aline",
}`;

function fleetFile(...organisations: string[]): string {
  const fleet = new ConfigurationBuilder();
  const tutor = fleet.modelService('tutor-models', {
    models: [{name: 'tutor-7b', maximumOutputTokens: 64}],
  });
  for (const name of organisations) {
    fleet.organisation(name, {
      openingBudgetTokens: 1_000,
      callers: [{name: 'app', credentialSha256: hashCredential(name)}],
      services: [tutor],
    });
  }
  let text = '';
  fleet.print(part => (text += part));
  return text;
}

describe('the command line', () => {
  const clock = new SystemClock();
  let store = new MemoryLogStore(clock);
  let files = temporaryFiles({});

  beforeEach(() => {
    store = new MemoryLogStore(clock);
    connections.current = {
      log: new MemoryLog(store, clock),
      hostList: new MemoryHostList({hosts: [], endpoints: []}),
      clock,
      close: () => Promise.resolve(),
    };
    files.close();
    files = temporaryFiles({
      'settings.jsonc': SETTINGS,
      'one.json': fleetFile('a'),
      'two.json': fleetFile('a', 'b'),
      'wrong.json': fleetFile('a').replace('"weight": 1', '"weight": 0'),
    });
  });

  afterEach(() => {
    vi.restoreAllMocks();
  });

  const settings = () => ['--settings', files.path('settings.jsonc')];
  const publish = (file: string, ...flags: string[]) =>
    runCommand(Publish, 'publish', files.path(file), ...settings(), ...flags);
  const topUp = (...argv: string[]) =>
    runCommand(TopUp, 'top-up', ...argv, ...settings());

  it('reports file, line and key of an error in a configuration', async () => {
    const validRun = await runCommand(Check, 'check', files.path('one.json'));
    expect(validRun.exitCode).toBe(ExitCode.Success);
    const invalidRun = await runCommand(
      Check,
      'check',
      files.path('wrong.json'),
    );
    expect(invalidRun.exitCode).toBe(ExitCode.InvalidInput);
    expect(invalidRun.errors).toMatch(
      /wrong\.json:\d+: organisations\.0\.weight: expected a number above 0/,
    );
  });

  it('shows the difference first and publishes nothing without --yes', async () => {
    const run = await publish('one.json');
    expect(run.output).toContain('+ organisations a');
    expect(run.output).toContain('Nothing was published');
    expect(store.endOffset('configuration')).toBe(0);
  });

  it('publishes, and names the other operator when overtaken', async () => {
    const acceptedRun = await publish('one.json', '--yes', '--base', '0');
    expect(acceptedRun.exitCode).toBe(ExitCode.Success);
    const overtakenRun = await publish('two.json', '--yes', '--base', '0');
    expect(overtakenRun.exitCode).toBe(ExitCode.Overtaken);
    expect(overtakenRun.errors).toContain('aline published version 1 first');
  });

  it('tops up once although the command is run twice', async () => {
    const line = ['a', '500', '--id', 'invoice-1'];
    const runs = [await topUp(...line), await topUp(...line)];
    expect(runs.map(run => run.exitCode)).toEqual([0, 0]);
    expect(runs[0]?.output).toContain('Credited.');
    expect(runs[1]?.output).toContain('Nothing was added');
    expect(runs[1]?.output).toContain('500 tokens in all');
  });

  it('reports that nothing was done when the log is unavailable', async () => {
    store.faults.outage = true;
    const run = await topUp('a', '500', '--id', 'invoice-1', '--json');
    expect(run.exitCode).toBe(ExitCode.Unavailable);
    const {error} = JSON.parse(run.output) as {error: Record<string, string>};
    expect(error.message).toContain('nothing was done');
  });

  it('rejects invalid arguments and settings with distinct exit codes', async () => {
    const usage = await topUp('a', 'many', '--id', 'i');
    expect(usage.exitCode).toBe(ExitCode.Usage);
    const file = files.path('one.json');
    const run = await runCommand(
      TopUp,
      'top-up',
      'a',
      '5',
      '--id',
      'i',
      '--settings',
      file,
    );
    expect(run.exitCode).toBe(ExitCode.Configuration);
    expect(run.errors).toContain('expected one of the keys platform');
  });

  it('explains a budget from the ledger', async () => {
    await publish('one.json', '--yes');
    const run = await runCommand(
      BudgetExplain,
      'budget:explain',
      'a',
      ...settings(),
    );
    expect(run.output).toContain(
      'a: 1000 credited = 0 billed + 1000 not granted yet + 0 in grants.',
    );
  });

  it('releases no grant without --yes, and no unknown grant', async () => {
    const line = ['a', 'g1', '--reason', 'rack 4 burnt', ...settings()];
    const id = 'budget:release';
    const unconfirmedRun = await runCommand(BudgetRelease, id, ...line);
    const unknownGrantRun = await runCommand(
      BudgetRelease,
      id,
      ...line,
      '--yes',
    );
    expect(unconfirmedRun.exitCode).toBe(ExitCode.Usage);
    expect(unconfirmedRun.errors).toContain('Nothing was released');
    expect(unknownGrantRun.exitCode).toBe(ExitCode.NotFound);
    expect(store.endOffset('ledger-0')).toBe(0);
  });

  it('exits with NotFound and a next step when there is no data', async () => {
    const budget = await runCommand(
      BudgetExplain,
      'budget:explain',
      'nobody',
      ...settings(),
    );
    const request = await runCommand(
      RequestExplain,
      'request:explain',
      'req_0',
      ...settings(),
    );
    const fleet = await runCommand(FleetStatus, 'fleet:status', ...settings());
    expect([budget, request, fleet].map(run => run.exitCode)).toEqual([
      ExitCode.NotFound,
      ExitCode.NotFound,
      ExitCode.NotFound,
    ]);
    expect(budget.errors).toContain('Next: ');
  });
});

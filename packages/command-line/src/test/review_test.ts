import {ConfigurationBuilder, hashCredential} from '@wisteriadeal/operator';
import {afterEach, describe, expect, it} from 'vitest';

import {Review} from '../commands/review.js';
import type {ConfigurationReview} from '../configuration-review.js';
import {runCommand, temporaryFiles} from './command-runner.js';

const CHAT = {
  name: 'chat',
  host: 'a.example',
  path_prefix: '/chat/',
  kind: 'streaming',
  service: 'models',
  timeout_ms: 4_000,
  goal_ms: 500,
  gap_goal_ms: 400,
};
const SCHOOL = {name: 'school', api_keys: ['secret-1'], prepaid: 9_000};
const SOUND = {
  version: 4,
  routes: [CHAT],
  services: [{name: 'models', engine: {slots: 8}}],
  tenants: [SCHOOL],
};

function route(name: string, fields: object) {
  return {...CHAT, name, path_prefix: `/${name}/`, ...fields};
}

const FAULTY = {
  version: 4,
  routes: [
    CHAT,
    {...CHAT, goal_ms: 600},
    route('port', {host: 'a.example:80'}),
    route('slash', {path_prefix: 'slash/'}),
    route('open', {path_prefix: '/open'}),
    route('kind', {kind: 'stream'}),
    route('split', {
      split: [
        {service: 'models', weight: 1},
        {service: 'models', weight: 0},
      ],
    }),
    route('unknown', {service: 'modles'}),
    route('region', {allowed_regions: ['north']}),
    route('late', {timeout_ms: 400}),
    route('pause', {gap_goal_ms: 5_000}),
    route('plain', {kind: 'safe', resumable: true}),
    route('urgent', {priority: -1}),
    route('anywhere', {allowed_regions: 'south'}),
    7,
  ],
  services: [{name: 'models'}, {name: 'idle'}, {name: 'models'}],
  tenants: [
    {...SCHOOL, allowed_regions: ['south']},
    {name: 'keyless', allowed_regions: ['south']},
    {name: 'twin', api_keys: ['secret-1'], allowed_regions: ['south']},
    {name: 'poor', api_keys: ['k'], prepaid: 0, allowed_regions: ['south']},
    {name: 'text', api_keys: 'secret-3', allowed_regions: ['south']},
  ],
  limits: {max_body_bytes: 'large'},
};

const EXPECTED_FIELDS = [
  'error routes.14',
  'error routes.5.kind',
  'warning limits.max_body_bytes',
  'warning routes.12.priority',
  'warning routes.13.allowed_regions',
  'warning tenants.4.api_keys',
  'error routes.1.path_prefix',
  'error routes.2.host',
  'error routes.3.path_prefix',
  'warning routes.4.path_prefix',
  'warning routes.6.split.1.weight',
  'error routes.7.service',
  'warning services.1.name',
  'error services.2.name',
  'warning tenants.1.api_keys',
  'error tenants.2.api_keys.0',
  'warning tenants.4.api_keys',
  'error routes.8.allowed_regions',
  'error routes.9.timeout_ms',
  'error routes.10.gap_goal_ms',
  'warning routes.11.gap_goal_ms',
  'warning routes.11.resumable',
  'warning tenants.3.prepaid',
];

function publication(budget: number): string {
  const fleet = new ConfigurationBuilder();
  const tutor = fleet.modelService('tutor', {
    models: [{name: 'tutor-7b', maximumOutputTokens: 64}],
  });
  fleet.plainService('uncalled', {calls: []});
  fleet.limits({interactiveDeadlineMilliseconds: 130_000});
  fleet.organisation('school', {
    openingBudgetTokens: budget,
    callers: [{name: 'app', credentialSha256: hashCredential('school')}],
    services: [tutor],
  });
  fleet.organisation('mute', {
    openingBudgetTokens: 0,
    callers: [],
    services: [],
  });
  let text = '';
  fleet.print(part => (text += part));
  return text;
}

describe('review', () => {
  let files: ReturnType<typeof temporaryFiles> | undefined;

  afterEach(() => {
    files?.close();
  });

  const review = (texts: Record<string, unknown>, ...flags: string[]) => {
    const created = temporaryFiles(
      Object.fromEntries(
        Object.entries(texts).map(([name, value]) => [
          name,
          typeof value === 'string' ? value : JSON.stringify(value, null, 1),
        ]),
      ),
    );
    files = created;
    return runCommand(
      Review,
      'review',
      created.path('new.json'),
      ...flags.map(flag => (flag in texts ? created.path(flag) : flag)),
    );
  };
  const parsed = (output: string) => JSON.parse(output) as ConfigurationReview;

  it('passes a configuration without faults', async () => {
    // Guards against false findings, which would block a sound publication.
    const run = await review({'new.json': SOUND});
    expect(run.output).toMatch(/new\.json: findings 0\./);
    expect(run.exitCode).toBe(0);
  });

  it('finds one fault of each kind, once, with its line', async () => {
    // Guards against a fault that is missed, counted twice or shown at a wrong line.
    const run = await review({'new.json': FAULTY}, '--json');
    expect(run.exitCode).toBe(1);
    const {findings} = parsed(run.output);
    expect(findings.map(({severity, field}) => `${severity} ${field}`)).toEqual(
      EXPECTED_FIELDS,
    );
    const lines = JSON.stringify(FAULTY, null, 1).split('\n');
    for (const {line, field} of findings) {
      const parts = field.split('.');
      // An absent key has the line of its entry, which is a brace.
      expect(lines[line - 1]).toMatch(
        field === 'tenants.1.api_keys'
          ? /\{/
          : parts.at(-1) === '0'
            ? /secret-1/
            : field === 'routes.14'
              ? /^ *7$/
              : new RegExp(`"${parts.at(-1) ?? ''}"`),
      );
    }
    expect(run.output).not.toContain('secret-');
  });

  it('states what differences do to requests in progress', async () => {
    // Guards against a revoked key or a shortened limit that is sent unnoticed.
    const before = {...SOUND, routes: [CHAT, route('old', {})]};
    const after = {
      ...SOUND,
      routes: [{...CHAT, timeout_ms: 3_000}],
      tenants: [{...SCHOOL, api_keys: ['secret-2'], prepaid: 10}],
    };
    const run = await review(
      {'new.json': after, 'old.json': before},
      '--in-force',
      'old.json',
    );
    expect(run.output).toMatch(
      /~ route chat\n {4}timeoutMilliseconds: 4000 -> 3000\n {4}Requests in progress keep the deadline/,
    );
    expect(run.output).toMatch(/- route old\n {4}.* later ones get 404/);
    expect(run.output).toContain('keys: 1 removed, 1 added');
    expect(run.output).toContain('get 401');
    expect(run.output).toContain('return unreserved granted tokens');
    expect(run.output).not.toMatch(/secret-/);
    expect(run.output).toContain('found 4, expected a number above 4');
    expect(run.exitCode).toBe(1);
  });

  it('shows no difference between equal files, also with equal names', async () => {
    // Guards against differences that hide the one that matters.
    const run = await review(
      {'new.json': FAULTY, 'old.json': FAULTY},
      '--in-force',
      'old.json',
    );
    expect(run.output).toContain('(changes nothing)');
  });

  it('reviews a configuration for "publish"', async () => {
    // Guards against services and organisations that serve no request.
    const run = await review(
      {'new.json': publication(63), 'old.json': publication(64)},
      '--in-force',
      'old.json',
      '--json',
    );
    const {findings, changes} = parsed(run.output);
    expect(findings.map(({field}) => field)).toEqual([
      'services.0.name',
      'services.1.name',
      'services.1.name',
      'services.1.calls',
      'organisations.0.openingBudgetTokens',
      'organisations.1.callers',
      'organisations.1.services',
      'limits.interactiveDeadlineMilliseconds',
    ]);
    expect(changes?.map(({item}) => item)).toEqual(['organisations school']);
  });

  it('says that a leaving endpoint completes its requests', async () => {
    // Guards against an endpoint that is believed to cut what it runs.
    const fleet = new ConfigurationBuilder();
    const service = fleet.modelService('tutor', {
      models: [{name: 'tutor-7b', maximumOutputTokens: 64}],
    });
    fleet.endpoint('engine', {
      service,
      dataCenter: 'kigali-1',
      address: '10.0.0.7:8000',
      slots: 8,
    });
    let text = '';
    fleet.print(part => (text += part));
    const leaving = text.replace('_STATE_ACTIVE', '_STATE_LEAVING');
    const run = await review(
      {'new.json': leaving, 'old.json': text},
      '--in-force',
      'old.json',
    );
    expect(run.output).toContain('Requests in progress complete');
  });

  it('reports an invalid value without showing a credential', async () => {
    // Guards against a secret in plain text that is printed to a terminal.
    const text = publication(64).replace(hashCredential('school'), 'my-secret');
    const run = await review({'new.json': text});
    expect(run.output).toMatch(/credentialSha256: found another value/);
    expect(run.output).not.toContain('my-secret');
    expect(run.exitCode).toBe(1);
  });

  it.each([
    ['text that is not JSON', {'new.json': '{\n"version": }'}],
    ['comments, which gateways refuse', {'new.json': '{"version": 1} // a'}],
    ['a missing file', {}],
  ])('ends with 2 for %s', async (_what, texts) => {
    const run = await review(texts);
    expect(run.exitCode).toBe(2);
    expect(run.errors).toContain('new.json');
  });
});

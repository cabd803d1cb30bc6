import {BeginVerdict} from '@wisteriadeal/schema';
import {RandomSource} from '@wisteriadeal/platform';
import {afterEach, expect, it} from 'vitest';

import {StatefulFakeKeeper} from './stateful-fake-keeper.js';
import {
  requestCertificate,
  chat,
  readStream,
  type CallOptions,
} from './caller.js';
import {FakeEngine, type StreamScript} from './fake-engine.js';
import {CallScript, FakePlainService} from './fake-plain-service.js';
import {
  AcceleratedClock,
  startRig,
  testConfiguration,
  waitUntil,
  type RouterRig,
} from './router-rig.js';

/** Returns consecutive identifiers, so that they are the same in each run. */
class CountingRandomSource extends RandomSource {
  private count = 0;

  override identifier(): string {
    return (++this.count).toString(16).padStart(8, '0').repeat(4);
  }

  override fraction(): number {
    return 0;
  }
}

/** Has a constant wall clock, so that dates in answers are reproducible. */
class FixedWallClock extends AcceleratedClock {
  override wallMilliseconds(): number {
    return 0;
  }
}

let rigs: RouterRig[] = [];

async function start(
  scripts: StreamScript[] = [],
  calls: CallScript[] = [],
): Promise<RouterRig> {
  const rig = await startRig({
    keeper: new StatefulFakeKeeper(testConfiguration()),
    engine: new FakeEngine(scripts),
    service: new FakePlainService(calls),
    clock: new FixedWallClock(),
    random: new CountingRandomSource(),
  });
  rigs.push(rig);
  return rig;
}

afterEach(async () => {
  for (const {engine, router} of rigs) {
    engine.release();
    await router.close();
  }
  rigs = [];
});

const HEADERS = ['content-type', 'retry-after', 'x-outcome', 'x-request-id'];

async function transcript(title: string, response: Response): Promise<string> {
  const headers = HEADERS.flatMap(name => {
    const value = response.headers.get(name);
    return value === null ? [] : [`${name}: ${value}`];
  });
  const lines = [`== ${title}`, String(response.status), ...headers, ''];
  return `${lines.join('\n')}\n${(await readStream(response)).raw.trim()}\n`;
}

/** Formats the messages the holder received, without fields that vary by run. */
function formatReceived(rig: RouterRig): string {
  const lines = rig.keeper.received.map(({kind}) => {
    switch (kind.case) {
      case 'begin':
        return `begin ${kind.value.requestId} bound ${kind.value.boundTokens}`;
      case 'dispatching':
        return `dispatching ${kind.value.requestId} to ${kind.value.attempt?.endpoint ?? ''}`;
      case 'settle':
        return `settle ${kind.value.requestId} tokens ${kind.value.bill?.tokens ?? 0} confirmed ${String(kind.value.bill?.confirmed)}`;
      case 'abandon':
        return `abandon ${kind.value.requestId}`;
      default:
        return String(kind.case);
    }
  });
  return `== the holder heard\n${lines.join('\n')}\n`;
}

async function expectGolden(name: string, parts: string[]): Promise<void> {
  const path = new URL(`./golden/${name}.txt`, import.meta.url);
  const session = parts.join('\n');
  await expect(session).toMatchFileSnapshot(path.pathname);
}

async function waitForSettlements(rig: RouterRig, count = 1): Promise<void> {
  await waitUntil(() => rig.keeper.receivedOf('settle').length === count);
}

const KEYED: CallOptions = {key: 'k'};

it('streams a completion', async () => {
  const rig = await start();
  const received = await transcript('stream', await chat(rig.url, 'hello'));
  await waitForSettlements(rig);
  await expectGolden('stream', [received, formatReceived(rig)]);
});

it('joins a retry to a running request', async () => {
  const rig = await start([{pausesAfter: 2}]);
  const first = await chat(rig.url, 'hello', KEYED);
  const retry = chat(rig.url, 'hello', KEYED);
  rig.engine.release();
  const parts = [
    await transcript('first', first),
    await transcript('retry', await retry),
  ];
  await waitForSettlements(rig);
  await expectGolden('retry-joined', [...parts, formatReceived(rig)]);
});

it('resumes a truncated stream and a read with Last-Event-ID', async () => {
  const rig = await start([{truncatedAfter: 2}]);
  const original = await transcript(
    'first',
    await chat(rig.url, 'hello', KEYED),
  );
  const rest = await transcript(
    'again with Last-Event-ID: 2',
    await chat(rig.url, 'hello', {...KEYED, lastEvent: 2}),
  );
  await waitForSettlements(rig);
  await expectGolden('resume', [original, rest, formatReceived(rig)]);
});

it('refuses a request that exceeds the budget', async () => {
  const rig = await start();
  rig.keeper.verdict = () => ({
    verdict: BeginVerdict.BUDGET,
    availableTokens: 12,
    retryAfterMilliseconds: 1_500,
  });
  const refused = await transcript('stream', await chat(rig.url, 'hello'));
  await expectGolden('refusal', [refused, formatReceived(rig)]);
});

it('reports an unknown outcome to the caller and to its retry', async () => {
  const rig = await start([], [CallScript.LosesAnswer]);
  const parts = [
    await transcript(
      'certificate',
      await requestCertificate(rig.url, '{}', KEYED),
    ),
    await transcript('retry', await requestCertificate(rig.url, '{}', KEYED)),
  ];
  await waitForSettlements(rig);
  await expectGolden('outcome-unknown', [...parts, formatReceived(rig)]);
});

it('drains an open stream and refuses a late request', async () => {
  const rig = await start([{pausesAfter: 2}]);
  rigs = [];
  const open = await chat(rig.url, 'hello');
  const closing = rig.router.close();
  const ready = await transcript('ready', await fetch(`${rig.url}/ready`));
  const late = await transcript('late', await chat(rig.url, 'late'));
  rig.engine.release();
  const ended = await transcript('open', open);
  await closing;
  await expectGolden('drain', [ready, late, ended, formatReceived(rig)]);
});

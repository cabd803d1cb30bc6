import type {EndpointCrash} from '@wisteriadeal/decisions';
import {SystemClock} from '@wisteriadeal/runtime';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {CrashDetector} from '../crashes/index.js';
import type {EndpointAttempt} from '../endpoint-attempt.js';
import {EndpointConnectionPool} from '../endpoint-connection-pool.js';
import {KnownEndpoint} from '../known-endpoint.js';
import {PathKind} from '../endpoint-path.js';

let server: Server;
let endpoint: KnownEndpoint;
let detector: CrashDetector;
let crashes: EndpointCrash[];

beforeEach(async () => {
  server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  endpoint = new KnownEndpoint({
    id: 'i-1',
    service: 'models',
    address: '127.0.0.1',
    port: (server.address() as AddressInfo).port,
    dataCenter: 'kigali-a',
    slots: 1,
    isLeaving: false,
    bornAt: 7,
    sequence: undefined,
    coldMilliseconds: undefined,
    ignoredFields: [],
    build: 'v1',
  });
  crashes = [];
  detector = new CrashDetector({
    connections: new EndpointConnectionPool(),
    clock: new SystemClock(),
    onCrash: crash => {
      crashes.push(crash);
    },
  });
});

afterEach(() => {
  detector.close();
  server.close();
});

function begin(
  digest: string,
  {hasJustBegun = true, wasCancelled = false, kind = PathKind.Direct} = {},
): EndpointAttempt {
  const attempt = {
    endpoint,
    path: {kind},
    exchange: {wasCancelled},
    identity: {subjects: [digest]},
    hasJustBegun,
  } as unknown as EndpointAttempt;
  detector.attemptBegan(attempt);
  return attempt;
}

function endEndpoint(): void {
  server.close();
}

/** Long enough for a connect on this machine. */
async function examined(): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 50));
}

describe('an endpoint that breaks an answer off', () => {
  it('has crashed if it refuses connections, under what it had just begun', async () => {
    const broken = begin('young');
    begin('young-too');
    begin('old', {hasJustBegun: false});
    detector.attemptEnded(begin('ended'));
    endEndpoint();
    detector.answerBroke(broken);
    await examined();
    expect(crashes).toMatchObject([
      {endpoint: 'i-1/7', subjects: ['young', 'young-too']},
    ]);
  });

  it('is reported once, though all of its answers break', async () => {
    const attempts = [begin('one'), begin('two'), begin('three')];
    endEndpoint();
    for (const attempt of attempts) {
      detector.answerBroke(attempt);
      detector.attemptEnded(attempt);
    }
    await examined();
    expect(crashes.length).toBe(1);
    expect(crashes[0]?.subjects).toEqual(['one', 'two', 'three']);
  });

  it('is no evidence against its requests if it was cold', async () => {
    // Guards against requests that are refused because cold endpoints got too many.
    endpoint.warmth.stated(1_000, performance.now());
    endEndpoint();
    detector.answerBroke(begin('innocent'));
    await examined();
    expect(crashes).toEqual([]);
  });

  it('has not crashed if it accepts a connection', async () => {
    // Guards against lost answers that count as crashes.
    detector.answerBroke(begin('lost'));
    await examined();
    detector.endpointGone('i-1/7');
    expect(crashes).toEqual([]);
  });

  it('has not crashed if this host ended the exchange', async () => {
    endEndpoint();
    detector.answerBroke(begin('silent', {wasCancelled: true}));
    await examined();
    expect(crashes).toEqual([]);
  });

  it('has crashed if it is reached through another host and leaves the list', async () => {
    detector.answerBroke(begin('relayed', {kind: PathKind.Relayed}));
    await examined();
    expect(crashes).toEqual([]);
    detector.endpointGone('i-1/7');
    expect(crashes.length).toBe(1);
  });

  it('has not crashed if it is at work later', () => {
    // Guards against a cut path that passes for the end of the endpoint.
    detector.answerBroke(begin('cut off', {kind: PathKind.Relayed}));
    detector.endpointLived('i-1/7', performance.now() + 60_000);
    detector.endpointGone('i-1/7');
    expect(crashes).toEqual([]);
  });
});

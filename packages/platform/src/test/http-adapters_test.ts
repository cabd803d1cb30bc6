import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';

import {
  Fate,
  FinishReason,
  HttpHostList,
  HttpLogClient,
  HttpModelEngineFactory,
  HttpPlainServiceFactory,
  StepError,
  type CompletionRequest,
  type EngineStream,
} from '../index.js';

const TIMEOUTS = {
  connectTimeoutMilliseconds: 500,
  responseTimeoutMilliseconds: 500,
  idleTimeoutMilliseconds: 500,
};
const REQUEST: CompletionRequest = {
  attemptId: 'req_1.0',
  model: 'tutor',
  messages: [{role: 'user', content: 'hello'}],
  maximumOutputTokens: 8,
  priority: 0,
};
const CALL = {
  attemptId: 'req_1.0',
  requestId: 'req_1',
  organisation: 'north',
  method: 'POST',
  path: '/certificates',
  contentType: 'application/json',
  body: Buffer.from('{}'),
};

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

async function serve(handler: Handler): Promise<string> {
  const server = createServer(handler);
  servers.push(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function chunkEvent(id: string, index: number, text: string): string {
  const choices = [{index: 0, delta: {content: text}, finish_reason: null}];
  return `id: ${index}\ndata: ${JSON.stringify({id, choices})}\n\n`;
}

function usageAndEndMarker(id: string): string {
  const counted = {prompt_tokens: 1, completion_tokens: 2, total_tokens: 3};
  const end = JSON.stringify({id, choices: [], usage: counted});
  return `data: ${end}\n\ndata: [DONE]\n\n`;
}

function streamHandler(attemptId: string, body: string): Handler {
  return (_request, response) => {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-attempt-id': attemptId,
    });
    response.end(body);
  };
}

async function readTexts(stream: EngineStream): Promise<string[]> {
  const received: string[] = [];
  for await (const event of stream.events) {
    received.push(event.text);
  }
  return received;
}

async function rejection(promise: Promise<unknown>): Promise<StepError> {
  const error: unknown = await promise.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  expect(error).toBeInstanceOf(StepError);
  return error as StepError;
}

async function connectEngine(handler: Handler) {
  const address = await serve(handler);
  return new HttpModelEngineFactory(TIMEOUTS).connect('engine-1', address);
}

test('a stream with usage and end marker is complete', async () => {
  const id = REQUEST.attemptId;
  const body =
    chunkEvent(id, 0, 'a ') + chunkEvent(id, 1, 'b ') + usageAndEndMarker(id);
  const engine = await connectEngine(streamHandler(id, body));
  const stream = await engine.start(REQUEST);
  expect(await readTexts(stream)).toEqual(['a ', 'b ']);
  expect(stream.end).toEqual({
    finishReason: FinishReason.Stop,
    usage: {promptTokens: 1, completionTokens: 2},
  });
  await engine.close();
});

test('a stream that ends without its end marker is an error', async () => {
  // Guards against truncated responses that pass for complete ones: the engine closes
  // its connection without an error in the middle of a response.
  const id = REQUEST.attemptId;
  const engine = await connectEngine(
    streamHandler(id, chunkEvent(id, 0, 'a ')),
  );
  const stream = await engine.start(REQUEST);
  const error = await rejection(readTexts(stream));
  expect(error.reason).toContain('end mark');
  expect(stream.end).toBeUndefined();
  await engine.close();
});

test('a response of another attempt is rejected by its head', async () => {
  // Guards against a caller that gets another caller's response after the engine
  // mixed up two responses; no byte of the body may be delivered.
  const other = 'req_2.0';
  const body = chunkEvent(other, 0, 'secret ') + usageAndEndMarker(other);
  const engine = await connectEngine(streamHandler(other, body));
  const error = await rejection(engine.start(REQUEST));
  expect(error.fate).toBe(Fate.Unknown);
  expect(error.message).toContain(other);
  await engine.close();
});

test('a chunk of another attempt makes the stream fail', async () => {
  // Guards against a caller that gets part of another caller's response: the head is
  // correct, but a later chunk belongs to another attempt. Only the chunks before it
  // are delivered.
  const id = REQUEST.attemptId;
  const body =
    chunkEvent(id, 0, 'a ') +
    chunkEvent('req_2.0', 1, 'secret ') +
    usageAndEndMarker(id);
  const engine = await connectEngine(streamHandler(id, body));
  const stream = await engine.start(REQUEST);
  const received: string[] = [];
  const error = await rejection(
    (async () => {
      for await (const event of stream.events) {
        received.push(event.text);
      }
    })(),
  );
  expect(error.message).toContain('req_2.0');
  expect(received).toEqual(['a ']);
  await engine.close();
});

test('a refused connection has the fate NotDone', async () => {
  const address = await serve(() => undefined);
  const server = servers.pop();
  await new Promise(resolve => server?.close(resolve));
  const engine = new HttpModelEngineFactory(TIMEOUTS).connect(
    'engine-1',
    address,
  );
  const service = new HttpPlainServiceFactory(TIMEOUTS).connect(
    'app-1',
    address,
  );
  const log = new HttpLogClient({
    url: `http://${address}`,
    timeoutMilliseconds: 500,
  });
  expect((await rejection(engine.start(REQUEST))).fate).toBe(Fate.NotDone);
  expect((await rejection(service.call(CALL))).fate).toBe(Fate.NotDone);
  const append = log.append('ledger-0', Buffer.from('x'));
  expect((await rejection(append)).fate).toBe(Fate.NotDone);
});

test('a missing response has the fate Unknown', async () => {
  // Guards against a router that issues a certificate twice: the call may have run and
  // its response may have been lost, so its fate must not be NotDone.
  const address = await serve(() => undefined);
  const service = new HttpPlainServiceFactory(TIMEOUTS).connect(
    'app-1',
    address,
  );
  const log = new HttpLogClient({
    url: `http://${address}`,
    timeoutMilliseconds: 200,
  });
  expect((await rejection(service.call(CALL))).fate).toBe(Fate.Unknown);
  const append = log.append('ledger-0', Buffer.from('x'));
  expect((await rejection(append)).fate).toBe(Fate.Unknown);
  await service.close();
  await log.close();
});

test('a plain response of another attempt destroys its connection', async () => {
  // Guards against a call that reads the rest of an earlier, wrong response. The service
  // responds once with another attempt's identifier; the connection must be closed, and
  // the next call must use a new one.
  const ports: (number | undefined)[] = [];
  let firstClosed = Promise.resolve();
  const address = await serve((request, response) => {
    ports.push(request.socket.remotePort);
    const isMismatched = ports.length === 1;
    if (isMismatched) {
      firstClosed = new Promise(resolve => {
        request.socket.once('close', () => {
          resolve();
        });
      });
    }
    const echoed = isMismatched ? 'req_9.9' : CALL.attemptId;
    response.writeHead(200, {'x-attempt-id': echoed});
    response.end('answer');
  });
  // Longer than the test's timeout, so that no response timeout closes the connection.
  const service = new HttpPlainServiceFactory({
    ...TIMEOUTS,
    responseTimeoutMilliseconds: 60_000,
  }).connect('app-1', address);
  expect((await rejection(service.call(CALL))).fate).toBe(Fate.Unknown);
  await firstClosed;
  const answer = await service.call(CALL);
  expect(Buffer.from(answer.body).toString()).toBe('answer');
  expect(new Set(ports).size).toBe(2);
  await service.close();
}, 5_000);

test('one host list entry that can’t be read does not hide the others', async () => {
  // Guards against processes that follow the list no more because of one entry.
  const host = {
    host: 'host-1',
    dataCenter: 'a',
    state: 'live',
    keeperAddress: '10.0.0.1:1',
    routerControlAddress: '10.0.0.1:2',
    callerAddress: '10.0.0.1:3',
  };
  const address = await serve((_request, response) => {
    response.end(
      JSON.stringify({
        hosts: [null, {...host, state: 5}, host, 'host'],
        endpoints: [{endpoint: 7}, {endpoint: 'engine-1', state: 'live'}],
      }),
    );
  });
  const list = new HttpHostList({
    url: `http://${address}`,
    viewer: 'host-1',
    timeoutMilliseconds: 500,
  });
  const {hosts, endpoints, ignoredEntries} = await list.read();
  await list.close();
  expect(hosts).toEqual([host]);
  expect(endpoints).toEqual([{endpoint: 'engine-1', state: 'live'}]);
  expect(ignoredEntries).toBe(4);
});

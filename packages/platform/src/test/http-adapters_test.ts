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
  HttpLogClient,
  HttpModelEngineFactory,
  HttpPlainServiceFactory,
  StepError,
  type CompletionRequest,
  type EngineStream,
} from '../index.js';

const LIMITS = {
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

function chunk(id: string, index: number, text: string): string {
  const choices = [{index: 0, delta: {content: text}, finish_reason: null}];
  return `id: ${index}\ndata: ${JSON.stringify({id, choices})}\n\n`;
}

function usage(id: string): string {
  const counted = {prompt_tokens: 1, completion_tokens: 2, total_tokens: 3};
  const end = JSON.stringify({id, choices: [], usage: counted});
  return `data: ${end}\n\ndata: [DONE]\n\n`;
}

function streamOf(attemptId: string, body: string): Handler {
  return (_request, response) => {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-attempt-id': attemptId,
    });
    response.end(body);
  };
}

async function texts(stream: EngineStream): Promise<string[]> {
  const seen: string[] = [];
  for await (const event of stream.events) {
    seen.push(event.text);
  }
  return seen;
}

async function failure(promise: Promise<unknown>): Promise<StepError> {
  const error: unknown = await promise.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  expect(error).toBeInstanceOf(StepError);
  return error as StepError;
}

async function engineAt(handler: Handler) {
  const address = await serve(handler);
  return new HttpModelEngineFactory(LIMITS).connect('engine-1', address);
}

test('a stream is complete with its end mark and usage', async () => {
  const id = REQUEST.attemptId;
  const body = chunk(id, 0, 'a ') + chunk(id, 1, 'b ') + usage(id);
  const engine = await engineAt(streamOf(id, body));
  const stream = await engine.start(REQUEST);
  expect(await texts(stream)).toEqual(['a ', 'b ']);
  expect(stream.end).toEqual({
    finishReason: FinishReason.Stop,
    usage: {promptTokens: 1, completionTokens: 2},
  });
  await engine.close();
});

test('a stream that ends without its end mark is an error', async () => {
  // The engine's connection ends in good order after half an answer. Without
  // the end mark the caller would be given half an answer as the whole one.
  const id = REQUEST.attemptId;
  const engine = await engineAt(streamOf(id, chunk(id, 0, 'a ')));
  const stream = await engine.start(REQUEST);
  const error = await failure(texts(stream));
  expect(error.reason).toContain('end mark');
  expect(stream.end).toBeUndefined();
  await engine.close();
});

test('an answer of another attempt is refused at its head', async () => {
  // Two answers are crossed at the engine. Without the check one caller would
  // read the other's answer; no byte of the body may be handed on.
  const other = 'req_2.0';
  const body = chunk(other, 0, 'secret ') + usage(other);
  const engine = await engineAt(streamOf(other, body));
  const error = await failure(engine.start(REQUEST));
  expect(error.fate).toBe(Fate.Unknown);
  expect(error.message).toContain(other);
  await engine.close();
});

test('a chunk of another attempt ends the stream', async () => {
  // The head is right, but a later chunk belongs to another attempt: what came
  // before it stays right, nothing of the other answer is handed on.
  const id = REQUEST.attemptId;
  const body = chunk(id, 0, 'a ') + chunk('req_2.0', 1, 'secret ') + usage(id);
  const engine = await engineAt(streamOf(id, body));
  const stream = await engine.start(REQUEST);
  const seen: string[] = [];
  const error = await failure(
    (async () => {
      for await (const event of stream.events) {
        seen.push(event.text);
      }
    })(),
  );
  expect(error.message).toContain('req_2.0');
  expect(seen).toEqual(['a ']);
  await engine.close();
});

test('a refused connection proves that nothing was done', async () => {
  const address = await serve(() => undefined);
  const server = servers.pop();
  await new Promise(resolve => server?.close(resolve));
  const engine = new HttpModelEngineFactory(LIMITS).connect(
    'engine-1',
    address,
  );
  const service = new HttpPlainServiceFactory(LIMITS).connect('app-1', address);
  const log = new HttpLogClient({
    url: `http://${address}`,
    timeoutMilliseconds: 500,
  });
  expect((await failure(engine.start(REQUEST))).fate).toBe(Fate.NotDone);
  expect((await failure(service.call(CALL))).fate).toBe(Fate.NotDone);
  const append = log.append('ledger-0', Buffer.from('x'));
  expect((await failure(append)).fate).toBe(Fate.NotDone);
});

test('an answer that does not come leaves the fate unknown', async () => {
  // The call may have run and its answer be lost: had it the fate NotDone, a
  // router would run a certificate's issue a second time.
  const address = await serve(() => undefined);
  const service = new HttpPlainServiceFactory(LIMITS).connect('app-1', address);
  const log = new HttpLogClient({
    url: `http://${address}`,
    timeoutMilliseconds: 200,
  });
  expect((await failure(service.call(CALL))).fate).toBe(Fate.Unknown);
  const append = log.append('ledger-0', Buffer.from('x'));
  expect((await failure(append)).fate).toBe(Fate.Unknown);
  await service.close();
  await log.close();
});

test('a crossed plain answer destroys its connection', async () => {
  // The service answers with another attempt's identifier, once. The next call
  // must not reuse that connection, where the rest of the wrong answer may
  // still arrive; the connection is closed, not left open.
  const ports: (number | undefined)[] = [];
  let firstClosed = Promise.resolve();
  const address = await serve((request, response) => {
    ports.push(request.socket.remotePort);
    const crossed = ports.length === 1;
    if (crossed) {
      firstClosed = new Promise(resolve => {
        request.socket.once('close', () => {
          resolve();
        });
      });
    }
    const echoed = crossed ? 'req_9.9' : CALL.attemptId;
    response.writeHead(200, {'x-attempt-id': echoed});
    response.end('answer');
  });
  // A limit longer than the test's own, so that no timeout closes it instead.
  const service = new HttpPlainServiceFactory({
    ...LIMITS,
    responseTimeoutMilliseconds: 60_000,
  }).connect('app-1', address);
  expect((await failure(service.call(CALL))).fate).toBe(Fate.Unknown);
  await firstClosed;
  const answer = await service.call(CALL);
  expect(Buffer.from(answer.body).toString()).toBe('answer');
  expect(new Set(ports).size).toBe(2);
  await service.close();
}, 5_000);

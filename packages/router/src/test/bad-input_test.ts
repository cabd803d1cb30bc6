import {connect} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {requestCertificate, chat, headersOf} from './caller.js';
import {startRig, waitUntil, type RouterRig} from './router-rig.js';

let rig: RouterRig;

beforeAll(async () => {
  rig = await startRig();
});

afterAll(async () => {
  await rig.router.close();
});

interface ProblemBody {
  readonly type: string;
  readonly status: number;
  readonly outcome: string;
  readonly detail: string;
}

/** Checks the properties that all refusals of invalid input share. */
async function expectProblem(
  response: Response,
  status: number,
  name: string,
): Promise<ProblemBody> {
  expect(response.status).toBe(status);
  expect(response.headers.get('content-type')).toBe('application/problem+json');
  expect(response.headers.get('x-outcome')).toBe('not-run');
  const body = (await response.json()) as ProblemBody;
  expect(body.type).toBe(`urn:wisteriadeal:problem:${name}`);
  expect(body.status).toBe(status);
  expect(body.detail).not.toBe('');
  return body;
}

function post(body: string, headers = headersOf({})): Promise<Response> {
  return fetch(`${rig.url}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body,
  });
}

/** Sends raw bytes and reads until the router closes the connection. */
function raw(text: string): Promise<string> {
  const [host = '', port] = rig.router.callerAddress.split(':');
  return new Promise(resolve => {
    let received = '';
    const socket = connect(Number(port), host, () => {
      socket.write(text);
    });
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString();
    });
    socket.on('error', () => {
      // A reset may follow the answer; only the bytes read are checked.
    });
    socket.on('close', () => {
      resolve(received);
    });
  });
}

describe('invalid input', () => {
  // The caller gets a typed refusal that names the error. The request is not
  // acted on: no begin is sent to a holder and no endpoint is called.
  it.each([
    ['{"model":', 'the body is not JSON in UTF-8'],
    ['[]', 'the body is not a JSON object'],
    ['{"model":7}', '"model" must be a string'],
    ['{"model":"tutor-7b","messages":[]}', '"messages" must be a list'],
    [
      '{"model":"tutor-7b","messages":[{"role":"user"}]}',
      'messages[0] needs the strings',
    ],
    [
      '{"model":"tutor-7b","messages":[{"role":"u","content":"x"}],"max_tokens":-1}',
      '"max_tokens" must be a whole number',
    ],
  ])('refuses the body %s', async (body, detail) => {
    const problem = await expectProblem(
      await post(body),
      400,
      'malformed-request',
    );
    expect(problem.detail).toContain(detail);
  });

  it('refuses unknown models and services', async () => {
    const body = '{"model":"x","messages":[{"role":"user","content":"x"}]}';
    await expectProblem(await post(body), 404, 'unknown-model');
    const response = await fetch(`${rig.url}/v1/services/none/records`, {
      headers: headersOf({}),
    });
    await expectProblem(response, 404, 'unknown-service');
  });

  // A request has a path without a route, a wrong method, or invalid
  // percent-encoding. restify's own error response after ours threw an exception
  // that terminated the process, so one such request cut every open stream.
  it.each(['/nothing/here', '/v1/chat/completions', '/v1/services/%zz/x'])(
    'survives a request for %s',
    async path => {
      await expectProblem(
        await fetch(`${rig.url}${path}`),
        404,
        'unknown-service',
      );
      expect((await fetch(`${rig.url}/healthy`)).status).toBe(200);
    },
  );

  it('refuses invalid credentials and never logs them', async () => {
    await expectProblem(
      await chat(rig.url, 'hello', {secret: 'guessed-secret'}),
      401,
      'unauthorised',
    );
    await expectProblem(await post('{}', {}), 401, 'unauthorised');
    expect(rig.logLines.join('')).not.toContain('guessed-secret');
    expect(rig.logLines.join('')).not.toContain('clerk-secret');
  });

  it('refuses a non-idempotent call without a key', async () => {
    await expectProblem(
      await requestCertificate(rig.url, '{}'),
      400,
      'missing-idempotency-key',
    );
  });

  it('refuses a body over the limit, with Content-Length or chunked', async () => {
    const long = JSON.stringify({model: 'x'.repeat(2_000)});
    await expectProblem(await post(long), 413, 'body-too-large');
    const chunk = 'x'.repeat(1_500);
    const chunked = `5dc\r\n${chunk}\r\n`;
    const answer = await raw(
      `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer clerk-secret\r\nTransfer-Encoding: chunked\r\n\r\n${chunked}${chunked}`,
    );
    expect(answer).toContain('413');
    expect(answer).toContain('problem:body-too-large');
  });

  it('refuses headers over the limit', async () => {
    const headers = `X-Bomb: ${'x'.repeat(20_000)}\r\n`;
    const answer = await raw(
      `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n${headers}\r\n`,
    );
    expect(answer).toContain('HTTP/1.1 431');
    expect(answer).toContain('problem:headers-too-large');
    expect(answer).toContain('"outcome":"not-run"');
  });

  it('refuses bytes that are not HTTP', async () => {
    const answer = await raw('GARBAGE\r\n\r\n');
    expect(answer).toContain('problem:malformed-request');
  });

  it('refuses a body that is not received in time', async () => {
    const answer = await raw(
      'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer clerk-secret\r\nContent-Length: 100\r\n\r\n{"model"',
    );
    expect(answer).toContain('HTTP/1.1 408');
    expect(answer).toContain('problem:request-timeout');
  });

  it('sent no begin and called no endpoint for any of them', () => {
    expect(rig.keeper.receivedOf('begin')).toEqual([]);
    expect(rig.engine.starts).toBe(0);
    expect(rig.service.calls).toEqual([]);
  });
});

describe('a caller that disconnects during a stream', () => {
  // The caller disconnects after two events. The router waits for a reconnect,
  // then cancels the stream at the engine and bills the tokens that the engine
  // reports. Billing the bound would charge the budget for unused tokens.
  it('gets its stream cancelled and is billed for generated tokens', async () => {
    rig.engine.scripts.push({pausesAfter: 2});
    const disconnect = new AbortController();
    const response = await chat(rig.url, 'hello', {signal: disconnect.signal});
    expect(response.status).toBe(200);
    disconnect.abort();
    await waitUntil(() => rig.keeper.receivedOf('settle').length === 1);
    const bill = rig.keeper.receivedOf('settle')[0]?.bill;
    expect(rig.engine.cancelled).toEqual([bill?.attemptId]);
    expect(bill).toMatchObject({tokens: 5, confirmed: true, outcome: 4});
  });
});

import {connect} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {certify, chat, headersOf} from './caller.js';
import {startRig, until, type RouterRig} from './router-rig.js';

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

/** What every refusal of bad input has in common. */
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

/** Sends raw bytes and reads until the router ends the connection. */
function raw(text: string): Promise<string> {
  const [host = '', port] = rig.router.callerAddress.split(':');
  return new Promise(resolve => {
    let seen = '';
    const socket = connect(Number(port), host, () => {
      socket.write(text);
    });
    socket.on('data', (bytes: Buffer) => {
      seen += bytes.toString();
    });
    socket.on('error', () => {
      // A reset after the answer; what counts is what was read.
    });
    socket.on('close', () => {
      resolve(seen);
    });
  });
}

describe('bad input', () => {
  // The caller gets a typed refusal that names what is wrong. Nothing of the
  // request was acted on: no holder was asked and no endpoint was called.
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

  // A caller asks for a path without a route, by a wrong method, or with broken
  // percent-encoding. restify's own error answer came after ours and its
  // exception ended the process: one such request cut every open stream.
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

  it('refuses wrong credentials and never logs them', async () => {
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
      await certify(rig.url, '{}'),
      400,
      'missing-idempotency-key',
    );
  });

  it('refuses a body over the limit, announced or not', async () => {
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

  it('refuses a header bomb', async () => {
    const headers = `X-Bomb: ${'x'.repeat(20_000)}\r\n`;
    const answer = await raw(
      `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n${headers}\r\n`,
    );
    expect(answer).toContain('HTTP/1.1 431');
    expect(answer).toContain('problem:headers-too-large');
    expect(answer).toContain('"outcome":"not-run"');
  });

  it('refuses what is no HTTP', async () => {
    const answer = await raw('GARBAGE\r\n\r\n');
    expect(answer).toContain('problem:malformed-request');
  });

  it('refuses a caller that sends too slowly', async () => {
    const answer = await raw(
      'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer clerk-secret\r\nContent-Length: 100\r\n\r\n{"model"',
    );
    expect(answer).toContain('HTTP/1.1 408');
    expect(answer).toContain('problem:request-timeout');
  });

  it('asked no holder and called no endpoint for any of it', () => {
    expect(rig.keeper.heard('begin')).toEqual([]);
    expect(rig.engine.starts).toBe(0);
    expect(rig.service.calls).toEqual([]);
  });
});

describe('a caller that hangs up in the middle of a stream', () => {
  // The caller reads two events and goes. The router waits a moment for it to
  // come back, cancels the stream at the engine, and bills what the engine says
  // it generated: not the bound, since the budget would shrink for nothing.
  it('has the stream cancelled and pays for what was generated', async () => {
    rig.engine.scripts.push({holdsAfter: 2});
    const gone = new AbortController();
    const response = await chat(rig.url, 'hello', {signal: gone.signal});
    expect(response.status).toBe(200);
    gone.abort();
    await until(() => rig.keeper.heard('settle').length === 1);
    const bill = rig.keeper.heard('settle')[0]?.bill;
    expect(rig.engine.cancelled).toEqual([bill?.attemptId]);
    expect(bill).toMatchObject({tokens: 5, confirmed: true, outcome: 4});
  });
});

import {afterEach, describe, expect, it} from 'vitest';

import {requestCertificate, chat, headersOf, readStream} from './caller.js';
import {
  startRig,
  waitUntil,
  type RigOptions,
  type RouterRig,
} from './router-rig.js';

let rig: RouterRig | undefined;

async function start(options: RigOptions = {}): Promise<RouterRig> {
  rig = await startRig(options);
  return rig;
}

afterEach(async () => {
  rig?.engine.release();
  await rig?.router.close();
  rig = undefined;
});

describe('the callers’ interface', () => {
  it('streams a completion with event ids, usage and the end mark', async () => {
    const {url, keeper} = await start();
    const received = await readStream(await chat(url, 'hello'));
    expect(received.text).toBe('hello-0 hello-1 hello-2 hello-3 hello-4 ');
    expect(received.lastId).toBe(6);
    expect(received.complete).toBe(true);
    expect(received.raw).toContain('"total_tokens":8');
    await waitUntil(() => keeper.receivedOf('settle').length === 1);
    expect(keeper.receivedOf('settle')[0]?.bill).toMatchObject({
      requestId: received.requestId,
      tokens: 8,
      confirmed: true,
    });
  });

  it('returns a completion without streaming as one object', async () => {
    const {url} = await start();
    const response = await chat(url, 'hello', {stream: false});
    expect(response.headers.get('x-outcome')).toBe('answered');
    expect(await response.json()).toMatchObject({
      object: 'chat.completion',
      choices: [
        {message: {content: 'hello-0 hello-1 hello-2 hello-3 hello-4 '}},
      ],
      usage: {total_tokens: 8},
    });
  });

  it('forwards a plain call and bills its configured tokens', async () => {
    const {url, keeper, service} = await start();
    const response = await requestCertificate(url, '{"name":"A"}', {
      key: 'c-1',
    });
    expect(response.status).toBe(201);
    expect(await response.json()).toMatchObject({body: '{"name":"A"}'});
    await waitUntil(() => keeper.receivedOf('settle').length === 1);
    expect(keeper.receivedOf('settle')[0]?.bill?.tokens).toBe(7);
    expect([...service.executions.values()]).toEqual([1]);
  });

  it('returns exactly the events after Last-Event-ID', async () => {
    const {url} = await start();
    const original = await readStream(await chat(url, 'hello'));
    const rest = await readStream(
      await fetch(`${url}/v1/requests/${original.requestId}/events`, {
        headers: headersOf({lastEvent: 2}),
      }),
    );
    expect(rest.complete).toBe(true);
    expect(original.raw.endsWith(rest.raw)).toBe(true);
    expect(rest.text).toBe('hello-3 hello-4 ');
  });
});

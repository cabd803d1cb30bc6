import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import {Fate, FreeLink, HttpCaller, type HttpCall} from '../index.js';

type Handler = Parameters<typeof createServer>[1];

const CALL: HttpCall = {
  step: 'read',
  method: 'GET',
  path: '/records?from=3',
  timeouts: {connect: 300, total: 300},
};

/** A host's link at which all that comes in waits for long. */
class FullLink extends FreeLink {
  override readonly delayMilliseconds = 5_000;
}

let server: Server | undefined;
let caller: HttpCaller | undefined;

async function callerOf(handler: Handler): Promise<HttpCaller> {
  const listening = createServer(handler);
  server = listening;
  await new Promise<void>(resolve => listening.listen(0, '127.0.0.1', resolve));
  const {port} = listening.address() as AddressInfo;
  caller = new HttpCaller('127.0.0.1', port, 'store');
  return caller;
}

function blockEventLoop(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    // Busy-wait, so that no timer or socket callback runs.
  }
}

afterEach(() => {
  caller?.close();
  server?.closeAllConnections();
  server?.close();
});

describe('HttpCaller', () => {
  it('sends what it is given and reads the whole answer, whatever its status', async () => {
    const {call} = bound(
      await callerOf((request, response) => {
        const chunks: Buffer[] = [];
        request.on('data', (chunk: Buffer) => chunks.push(chunk));
        request.on('end', () => {
          response.writeHead(410, {'x-first': '7'});
          response.write(`${request.method ?? ''} ${request.url ?? ''} `);
          setTimeout(() => response.end(Buffer.concat(chunks)), 20);
        });
      }),
    );
    const answer = await call({...CALL, method: 'POST', body: 'records'});
    expect(answer.status).toBe(410);
    expect(answer.headers['x-first']).toBe('7');
    expect(answer.body.toString()).toBe('POST /records?from=3 records');
  });

  it('keeps its connection for the next call', async () => {
    let connections = 0;
    const {call} = bound(
      await callerOf((_request, response) => {
        response.end('x');
      }),
    );
    server?.on('connection', () => connections++);
    await call(CALL);
    await call(CALL);
    await call(CALL);
    expect(connections).toBe(1);
  });

  it('says that nothing was done where nobody listens', async () => {
    const {call} = bound(new HttpCaller('127.0.0.1', 1, 'store'));
    await expect(call(CALL)).rejects.toMatchObject({
      name: 'StepError',
      step: 'read',
      peer: 'store',
      fate: Fate.NotDone,
    });
  });

  it('reads an answer that arrived while the event loop was blocked', async () => {
    // Guards against a timeout when the answer is already in the socket.
    const {call} = bound(
      await callerOf((_request, response) => {
        response.end('answer');
        blockEventLoop(2 * CALL.timeouts.total);
      }),
    );
    const {body} = await call(CALL);
    expect(body.toString()).toBe('answer');
  });

  it('does not know what became of a call whose answer does not come', async () => {
    // A store that hangs: the call ends at its limit, and may have had its effect.
    let isClosed = false;
    const {call} = bound(
      await callerOf(request => {
        request.socket.on('close', () => {
          isClosed = true;
        });
      }),
    );
    const startedAt = performance.now();
    await expect(call(CALL)).rejects.toMatchObject({fate: Fate.Unknown});
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(290);
    await expect.poll(() => isClosed).toBe(true);
  });

  it('notices a silent peer soon also while the host’s link is full', async () => {
    // Guards against changes of the store that a host learns of seconds too late.
    const {call} = bound(await callerOf(() => undefined));
    const startedAt = performance.now();
    await expect(call({...CALL, link: new FullLink()})).rejects.toThrow();
    expect(performance.now() - startedAt).toBeLessThan(3_000);
  });

  it('takes no answer for whole whose connection was cut', async () => {
    // Half of the records would be taken for all of them.
    const {call} = bound(
      await callerOf((_request, response) => {
        response.writeHead(200, {'content-length': '100'});
        response.write('half');
        setTimeout(() => response.destroy(), 20);
      }),
    );
    await expect(call(CALL)).rejects.toMatchObject({fate: Fate.Unknown});
  });

  it('fails its open calls when it is closed', async () => {
    const peer = await callerOf(() => undefined);
    const open = peer.call({...CALL, timeouts: {connect: 300, total: 9_000}});
    const closed = expect(open).rejects.toMatchObject({fate: Fate.Unknown});
    await new Promise(resolve => setTimeout(resolve, 50));
    peer.close();
    await closed;
  });
});

function bound(peer: HttpCaller) {
  return {call: (call: HttpCall) => peer.call(call)};
}

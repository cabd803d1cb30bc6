import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import {
  Fate,
  UncongestedLink,
  HttpClient,
  MissingPart,
  type HttpCall,
} from '../index.js';

type Handler = Parameters<typeof createServer>[1];

const CALL: HttpCall = {
  step: 'read',
  method: 'GET',
  path: '/records?from=3',
  timeouts: {connect: 300, total: 300},
};
/** Enough bytes to count as progress. */
const PART_BYTES = 17_000;

/** A link that delays inbound data for longer than any timeout. */
class CongestedLink extends UncongestedLink {
  override readonly delayMilliseconds = 5_000;
}

let server: Server | undefined;
let client: HttpClient | undefined;

async function startPeer(handler: Handler): Promise<HttpClient> {
  const listening = createServer(handler);
  server = listening;
  await new Promise<void>(resolve => listening.listen(0, '127.0.0.1', resolve));
  const {port} = listening.address() as AddressInfo;
  client = new HttpClient('127.0.0.1', port, 'store');
  return client;
}

function blockEventLoop(milliseconds: number): void {
  const blockedUntil = performance.now() + milliseconds;
  while (performance.now() < blockedUntil) {
    // Busy-wait, so that no timer or socket callback runs.
  }
}

afterEach(() => {
  client?.close();
  server?.closeAllConnections();
  server?.close();
});

describe('HttpClient', () => {
  it('sends the request and reads the complete response, whatever its status', async () => {
    const {call} = bindCall(
      await startPeer((request, response) => {
        const chunks: Buffer[] = [];
        request.on('data', (chunk: Buffer) => chunks.push(chunk));
        request.on('end', () => {
          response.writeHead(410, {'x-first': '7'});
          response.write(`${request.method ?? ''} ${request.url ?? ''} `);
          setTimeout(() => response.end(Buffer.concat(chunks)), 20);
        });
      }),
    );
    const response = await call({...CALL, method: 'POST', body: 'records'});
    expect(response.status).toBe(410);
    expect(response.headers['x-first']).toBe('7');
    expect(response.body.toString()).toBe('POST /records?from=3 records');
  });

  it('reuses its connection for the next call', async () => {
    let connections = 0;
    const {call} = bindCall(
      await startPeer((_request, response) => {
        response.end('x');
      }),
    );
    server?.on('connection', () => connections++);
    await call(CALL);
    await call(CALL);
    await call(CALL);
    expect(connections).toBe(1);
  });

  it('fails with the fate NotDone if the connection is refused', async () => {
    const {call} = bindCall(new HttpClient('127.0.0.1', 1, 'store'));
    await expect(call(CALL)).rejects.toMatchObject({
      name: 'StepError',
      step: 'read',
      peer: 'store',
      fate: Fate.NotDone,
    });
  });

  it('reads a response that arrived while the event loop was blocked', async () => {
    // Guards against a timeout although the response is already in the socket.
    const {call} = bindCall(
      await startPeer((_request, response) => {
        response.end('answer');
        blockEventLoop(2 * CALL.timeouts.total);
      }),
    );
    const {body} = await call(CALL);
    expect(body.toString()).toBe('answer');
  });

  it('fails with the fate Unknown if no response arrives in time', async () => {
    // Guards against calls to a hanging store that never end, or that count as not done
    // although the store may have executed them.
    let isClosed = false;
    const {call} = bindCall(
      await startPeer(request => {
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

  it('bounds the timeout for an unresponsive peer while the host’s link is full', async () => {
    // Guards against a host that receives changes from the store seconds too late.
    const {call} = bindCall(await startPeer(() => undefined));
    const startedAt = performance.now();
    await expect(call({...CALL, link: new CongestedLink()})).rejects.toThrow();
    expect(performance.now() - startedAt).toBeLessThan(3_000);
  });

  it('rejects a response whose connection closed before its end', async () => {
    // Guards against a truncated list of records that passes for the complete one.
    const {call} = bindCall(
      await startPeer((_request, response) => {
        response.writeHead(200, {'content-length': '100'});
        response.write('half');
        setTimeout(() => response.destroy(), 20);
      }),
    );
    await expect(call(CALL)).rejects.toMatchObject({fate: Fate.Unknown});
  });

  it('makes pending calls fail when it is closed', async () => {
    const peer = await startPeer(() => undefined);
    const open = peer.call({...CALL, timeouts: {connect: 300, total: 9_000}});
    const closed = expect(open).rejects.toMatchObject({fate: Fate.Unknown});
    await new Promise(resolve => setTimeout(resolve, 50));
    peer.close();
    await closed;
  });

  it('reads a response that takes longer than the timeout but arrives steadily', async () => {
    // Guards against a large record that is given up and read again for ever.
    const parts = 12;
    const {call} = bindCall(
      await startPeer((_request, response) => {
        void sendParts(response, parts, PART_BYTES, 100);
      }),
    );
    const progress: number[] = [];
    const {body} = await call({
      ...CALL,
      onProgress: ({receivedBytes}) => progress.push(receivedBytes),
    });
    expect(body.length).toBe(parts * PART_BYTES);
    expect(progress.at(-1)).toBe(parts * PART_BYTES);
  });

  it.each([
    {name: 'falls silent', parts: 1, bytes: 10},
    {name: 'trickles', parts: 100, bytes: 10},
    {name: 'falls silent after a large part', parts: 1, bytes: PART_BYTES},
  ])('gives up a response that $name', async ({parts, bytes}) => {
    // Guards against a call that never ends because some bytes arrive.
    const {call} = bindCall(
      await startPeer((_request, response) => {
        response.setHeader('content-length', '1000000');
        void sendParts(response, parts, bytes, 100);
      }),
    );
    const startedAt = performance.now();
    await expect(call(CALL)).rejects.toMatchObject({
      fate: Fate.Unknown,
      cause: {missing: MissingPart.Body},
    });
    expect(performance.now() - startedAt).toBeLessThan(3 * CALL.timeouts.total);
  });

  it.each([
    {
      name: 'a body of large pieces',
      head: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
      piece: `4000\r\n${'x'.repeat(16_384)}\r\n`,
    },
    {
      name: 'a body of tiny pieces',
      head: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
      piece: '1\r\nx\r\n'.repeat(1_000),
    },
    {
      name: '1xx responses',
      head: '',
      piece: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100),
    },
  ])('ends a response without end: $name', async ({head, piece}) => {
    // Guards against a peer that takes up a host's memory, or its event loop.
    let isClosed = false;
    const {call} = bindCall(
      await startPeer(({socket}) => {
        const send = () => {
          while (!socket.destroyed && socket.write(piece));
        };
        socket.on('drain', send).once('close', () => {
          isClosed = true;
        });
        socket.write(head);
        send();
      }),
    );
    const before = process.memoryUsage().rss;
    const startedAt = performance.now();
    await expect(
      call({...CALL, timeouts: {connect: 300, total: 10_000}}),
    ).rejects.toMatchObject({fate: Fate.Unknown});
    expect(performance.now() - startedAt).toBeLessThan(3_000);
    expect(process.memoryUsage().rss - before).toBeLessThan(32 * 1_048_576);
    await expect.poll(() => isClosed).toBe(true);
  });

  it('ends a call and its connection when it is aborted', async () => {
    // Guards against responses that fill the link although they are needless.
    let isClosed = false;
    const controller = new AbortController();
    const {call} = bindCall(
      await startPeer(request => {
        request.socket.on('close', () => {
          isClosed = true;
        });
        controller.abort();
      }),
    );
    await expect(
      call({...CALL, signal: AbortSignal.abort()}),
    ).rejects.toMatchObject({fate: Fate.NotDone});
    await expect(
      call({...CALL, signal: controller.signal}),
    ).rejects.toMatchObject({fate: Fate.Unknown});
    await expect.poll(() => isClosed).toBe(true);
  });
});

/** Sends parts of a body with pauses; the response ends if it is not announced as longer. */
async function sendParts(
  response: ServerResponse,
  parts: number,
  bytes: number,
  pauseMilliseconds: number,
): Promise<void> {
  for (let part = 0; part < parts && !response.destroyed; part++) {
    response.write(Buffer.alloc(bytes));
    await new Promise(resolve => setTimeout(resolve, pauseMilliseconds));
  }
  if (!response.hasHeader('content-length')) {
    response.end();
  }
}
function bindCall(peer: HttpClient) {
  return {call: (call: HttpCall) => peer.call(call)};
}

import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {CallerListener} from '../caller-listener.js';

const MAXIMUM_CALL_MILLISECONDS = 10_000;
const ANY_PORT = {address: '127.0.0.1', port: 0};

const STALL_MILLISECONDS = 400;
/** More than the operating system buffers for a caller that does not read. */
const LONG_BODY = Buffer.alloc(16_000_000, 'a');

let listener: CallerListener;

beforeEach(() => {
  listener = new CallerListener(() => performance.now());
});

afterEach(() => {
  listener.close();
});

/**
 * Sends a request, signals when the operating system has it, and posts the
 * answer.
 */
const CALLER = `
  const {parentPort, workerData} = require('node:worker_threads');
  const {port, hasSent} = workerData;
  const socket = require('node:net').connect(port, '127.0.0.1', () => {
    socket.write('GET / HTTP/1.1\\r\\nHost: shop.example\\r\\n\\r\\n', () => {
      Atomics.store(hasSent, 0, 1);
      Atomics.notify(hasSent, 0);
    });
  });
  let received = '';
  socket.on('data', data => { received += data; });
  socket.on('error', () => undefined);
  socket.on('close', () => { parentPort.postMessage(received); });
`;

function serve(request: IncomingMessage, response: ServerResponse): void {
  switch (request.url) {
    case '/long':
      response.end(LONG_BODY);
      return;
    case '/stream':
      response.write(LONG_BODY);
      return;
    case '/late':
      setTimeout(() => response.end('late'), 3 * STALL_MILLISECONDS);
      return;
    default:
      request.pipe(response);
  }
}

/** Sends the head of a request whose body and answer go on only if a test lets them. */
async function connectStalling(path: string, bodyBytes: number) {
  listener.close();
  listener = new CallerListener(() => performance.now(), STALL_MILLISECONDS);
  await listener.listen(ANY_PORT);
  listener.serveWith(serve);
  const accepted = once(listener.server, 'connection');
  const socket = connect(listener.port, '127.0.0.1');
  socket.on('error', () => undefined).pause();
  socket.write(
    `POST ${path} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n` +
      `Content-Length: ${bodyBytes}\r\n\r\n`,
  );
  const [host] = (await accepted) as [Socket];
  return {socket, host};
}

describe('CallerListener', () => {
  it('queues requests that come before the process can serve them', async () => {
    // Guards against resetting callers that connect while the process still
    // loads its libraries, as after a power loss of all hosts. A reset costs
    // the one retry that a caller has; a queued request is only answered some
    // tenths of a second late.
    await listener.listen(ANY_PORT);
    const answers = [1, 2].map(async caller => {
      const url = `http://127.0.0.1:${listener.port}/${caller}`;
      return (await fetch(url)).text();
    });
    const waited = new Promise(resolve => {
      listener.server.on('request', resolve);
    });
    await waited;
    listener.serveWith((request, response) => {
      response.end(request.url);
    });
    expect(await Promise.all(answers)).toEqual(['/1', '/2']);
  });

  it('passes on when a request arrived, not when its listener was set', async () => {
    await listener.listen(ANY_PORT);
    const before = performance.now();
    const answer = fetch(`http://127.0.0.1:${listener.port}/`);
    await new Promise(resolve => {
      listener.server.on('request', resolve);
    });
    const arrivedBy = performance.now();
    const arrivedAt = await new Promise<number>(resolve => {
      listener.serveWith((_request, response, at) => {
        response.end();
        resolve(at);
      });
    });
    await answer;
    expect(arrivedAt).toBeGreaterThanOrEqual(before);
    expect(arrivedAt).toBeLessThanOrEqual(arrivedBy);
  });

  it('drops callers that disconnect while they wait', async () => {
    // Guards against starting requests of callers that have left, which would
    // count as open for ever.
    await listener.listen(ANY_PORT);
    const closed = new Promise(resolve => {
      listener.server.once('connection', socket =>
        socket.once('close', resolve),
      );
    });
    const disconnecting = connect(listener.port, '127.0.0.1');
    disconnecting.write('GET /left HTTP/1.1\r\nHost: shop.example\r\n\r\n');
    await once(listener.server, 'request');
    disconnecting.destroy();
    await closed;
    const staying = fetch(`http://127.0.0.1:${listener.port}/stays`);
    await once(listener.server, 'request');
    const served: (string | undefined)[] = [];
    listener.serveWith((request, response) => {
      served.push(request.url);
      response.end();
    });
    await staying;
    expect(served).toEqual(['/stays']);
  });

  it('answers a caller that connected while the process was busy', async () => {
    // Guards against resetting connections that the process has not accepted
    // yet.
    await listener.listen(ANY_PORT);
    listener.serveWith((_request, response) => {
      response.end('done');
    });
    const hasSent = new Int32Array(new SharedArrayBuffer(4));
    const caller = new Worker(CALLER, {
      eval: true,
      workerData: {port: listener.port, hasSent},
    });
    const received = once(caller, 'message');
    Atomics.wait(hasSent, 0, 0, MAXIMUM_CALL_MILLISECONDS);
    await listener.drain();
    expect(await received).toEqual([expect.stringMatching(/^HTTP\/1.1 200 /)]);
  });

  it('stays on its port when listen is called again', async () => {
    await listener.listen(ANY_PORT);
    const {port} = listener;
    await listener.listen(ANY_PORT);
    expect(listener.port).toBe(port);
  });

  it.each([
    {name: 'takes nothing of an answer', path: '/long', bodyBytes: 0},
    {name: 'takes nothing of a stream', path: '/stream', bodyBytes: 0},
    {name: 'sends nothing of its body', path: '/echo', bodyBytes: 10},
  ])('closes a caller that $name', async ({path, bodyBytes}) => {
    // Guards against answers and bodies that are held for as long as a caller stays.
    const caller = await connectStalling(path, bodyBytes);
    const closed = once(caller.host, 'close');
    const startedAt = performance.now();
    await closed;
    expect(performance.now() - startedAt).toBeLessThan(10 * STALL_MILLISECONDS);
    caller.socket.destroy();
  });

  it.each([
    {name: 'waits for its answer', path: '/late', isReading: true},
    {name: 'reads late', path: '/long', isReading: false},
  ])('does not close a caller that $name', async ({path, isReading}) => {
    // Guards against callers that are closed because an endpoint, or a link, is slow.
    const {socket} = await connectStalling(path, 0);
    let received = 0;
    socket.on('data', ({length}: Buffer) => {
      received += length;
      if (!isReading) {
        socket.pause();
        setTimeout(() => socket.resume(), STALL_MILLISECONDS / 100);
      }
    });
    socket.resume();
    await once(socket, 'end');
    expect(received).toBeGreaterThan(path === '/late' ? 0 : LONG_BODY.length);
    socket.destroy();
  });
});

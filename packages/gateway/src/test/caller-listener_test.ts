import {once} from 'node:events';
import {connect} from 'node:net';
import {Worker} from 'node:worker_threads';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {CallerListener} from '../caller-listener.js';

const MAXIMUM_CALL_MILLISECONDS = 10_000;
const ANY_PORT = {address: '127.0.0.1', port: 0};

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
});

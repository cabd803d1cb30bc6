import {once} from 'node:events';
import {connect} from 'node:net';
import {Worker} from 'node:worker_threads';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {CallerDoor} from '../caller-door.js';

const LONGEST_CALL_MILLISECONDS = 10_000;
const ANY_PORT = {address: '127.0.0.1', port: 0};

let door: CallerDoor;

beforeEach(() => {
  door = new CallerDoor(() => performance.now());
});

afterEach(() => {
  door.close();
});

/** Calls, says when its request is with the system, and tells what came back. */
const CALLER = `
  const {parentPort, workerData} = require('node:worker_threads');
  const {port, hasCalled} = workerData;
  const socket = require('node:net').connect(port, '127.0.0.1', () => {
    socket.write('GET / HTTP/1.1\\r\\nHost: shop.example\\r\\n\\r\\n', () => {
      Atomics.store(hasCalled, 0, 1);
      Atomics.notify(hasCalled, 0);
    });
  });
  let received = '';
  socket.on('data', data => { received += data; });
  socket.on('error', () => undefined);
  socket.on('close', () => { parentPort.postMessage(received); });
`;

describe('CallerDoor', () => {
  it('keeps requests that come before there is anybody to serve them', async () => {
    // The caller is answered, some tenths of a second later than usual. All hosts lost
    // power; it comes back while the process still loads its libraries. A reset of its
    // connection would cost the one retry that it has.
    await door.listen(ANY_PORT);
    const answers = [1, 2].map(async caller => {
      const url = `http://127.0.0.1:${door.port}/${caller}`;
      return (await fetch(url)).text();
    });
    const waited = new Promise(resolve => {
      door.server.on('request', resolve);
    });
    await waited;
    door.openTo((request, response) => {
      response.end(request.url);
    });
    expect(await Promise.all(answers)).toEqual(['/1', '/2']);
  });

  it('tells when a request arrived, not when it was taken', async () => {
    await door.listen(ANY_PORT);
    const before = performance.now();
    const answer = fetch(`http://127.0.0.1:${door.port}/`);
    await new Promise(resolve => {
      door.server.on('request', resolve);
    });
    const arrivedBy = performance.now();
    const arrivedAt = await new Promise<number>(resolve => {
      door.openTo((_request, response, at) => {
        response.end();
        resolve(at);
      });
    });
    await answer;
    expect(arrivedAt).toBeGreaterThanOrEqual(before);
    expect(arrivedAt).toBeLessThanOrEqual(arrivedBy);
  });

  it('forgets callers that leave while they wait', async () => {
    // Guards against runs for callers that have left, which count as open for ever.
    await door.listen(ANY_PORT);
    const closed = new Promise(resolve => {
      door.server.once('connection', socket => socket.once('close', resolve));
    });
    const leaver = connect(door.port, '127.0.0.1');
    leaver.write('GET /left HTTP/1.1\r\nHost: shop.example\r\n\r\n');
    await once(door.server, 'request');
    leaver.destroy();
    await closed;
    const staying = fetch(`http://127.0.0.1:${door.port}/stays`);
    await once(door.server, 'request');
    const taken: (string | undefined)[] = [];
    door.openTo((request, response) => {
      taken.push(request.url);
      response.end();
    });
    await staying;
    expect(taken).toEqual(['/stays']);
  });

  it('answers a caller that came while the process was busy', async () => {
    // Guards against a reset of callers that the process has not looked at yet.
    await door.listen(ANY_PORT);
    door.openTo((_request, response) => {
      response.end('done');
    });
    const hasCalled = new Int32Array(new SharedArrayBuffer(4));
    const caller = new Worker(CALLER, {
      eval: true,
      workerData: {port: door.port, hasCalled},
    });
    const received = once(caller, 'message');
    Atomics.wait(hasCalled, 0, 0, LONGEST_CALL_MILLISECONDS);
    await door.drain();
    expect(await received).toEqual([expect.stringMatching(/^HTTP\/1.1 200 /)]);
  });

  it('listens once, whoever asks again', async () => {
    await door.listen(ANY_PORT);
    const {port} = door;
    await door.listen(ANY_PORT);
    expect(door.port).toBe(port);
  });
});

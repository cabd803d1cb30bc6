import {once} from 'node:events';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {EndpointEntry} from '../endpoint-entry.js';
import {OpenConnections} from '../open-connections.js';

let server: Server;
let endpoint: EndpointEntry;
let accepted: Socket[];
let lost: number;
let open: OpenConnections;

beforeEach(async () => {
  accepted = [];
  lost = 0;
  open = new OpenConnections(() => lost++);
  server = createServer(socket => {
    accepted.push(socket);
    socket.on('error', () => undefined);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {address, port} = server.address() as AddressInfo;
  endpoint = {id: 'i-1', address, port} as EndpointEntry;
});

afterEach(() => {
  for (const socket of accepted) {
    socket.destroy();
  }
  server.close();
});

/** Opens a connection that is followed, and waits until the endpoint has it. */
async function openConnection(): Promise<Socket> {
  const {address: host, port} = endpoint;
  const before = accepted.length;
  const socket = connect({host, port});
  socket.on('error', () => undefined);
  socket.resume();
  await once(socket, 'connect');
  open.opened(socket, endpoint);
  await expect.poll(() => accepted.length).toBe(before + 1);
  await new Promise(resolve => setImmediate(resolve));
  return socket;
}

/** Resolves when this side knows that a connection is closed. */
function closed(socket: Socket): Promise<void> {
  return new Promise(resolve => {
    socket.once('close', () => {
      resolve();
    });
  });
}

describe('the last connection to an endpoint', () => {
  it('is lost once the endpoint ends or resets it', async () => {
    // Guards against another process that is taken for the one that has ended.
    const ended = await openConnection();
    accepted[0]?.end();
    await closed(ended);
    expect(lost).toBe(1);
    expect(open.runningProcessSince(endpoint)).toBe(undefined);
    const reset = await openConnection();
    accepted[1]?.resetAndDestroy();
    await closed(reset);
    expect(lost).toBe(2);
  });

  it('is not lost while another one is open, by this side, or with notice', async () => {
    // Guards against endpoints that count as ended for the end of a single connection.
    const first = await openConnection();
    const second = await openConnection();
    accepted[0]?.resetAndDestroy();
    await closed(first);
    expect(open.runningProcessSince(endpoint)).toBe(open.since(second));
    second.destroy();
    await closed(second);
    expect(open.runningProcessSince(endpoint)).toBe(undefined);
    const announced = await openConnection();
    open.endAnnounced(announced);
    accepted[2]?.end();
    await closed(announced);
    expect(lost).toBe(0);
  });
});

describe('what answers on a connection', () => {
  it('has run since an earlier one that is open', async () => {
    // Guards against endpoints in use that are waited for.
    const first = await openConnection();
    const second = await openConnection();
    expect(open.since(second)).toBe(open.since(first));
  });

  it('may have started after an earlier one has ended', async () => {
    // Guards against an end that arrives together with a new connection.
    const first = await openConnection();
    accepted[0]?.resetAndDestroy();
    await closed(first);
    const at = performance.now();
    const second = await openConnection();
    expect(open.since(second)).toBeGreaterThanOrEqual(at);
  });
});

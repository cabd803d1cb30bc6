import {once} from 'node:events';
import {createServer} from 'node:http';
import {Socket, type AddressInfo} from 'node:net';
import {afterEach, describe, expect, it, vi} from 'vitest';

import {HttpClient} from '../http-client.js';
import {HttpPeer} from '../http-peer.js';
import {Fate} from '../step-error.js';

const CALL = {
  step: 'append',
  method: 'POST',
  path: '/',
  body: 'records',
  timeouts: {connect: 100, total: 300},
};

afterEach(() => {
  vi.restoreAllMocks();
});

/** Makes connects fail at once, as the system reports them. */
function refuseConnects(code: string): void {
  vi.spyOn(Socket.prototype, 'connect').mockImplementation(function (
    this: Socket,
  ) {
    const fields = {code, syscall: 'connect'};
    const error = Object.assign(new Error(`connect ${code}`), fields);
    process.nextTick(() => this.destroy(error));
    return this;
  });
}

describe('a call whose connect the system refuses at once', () => {
  // Guards against taking a call that was never sent for one that may have been done.
  const codes = ['EMFILE', 'ENFILE', 'ENOBUFS', 'ENETDOWN', 'EACCES'];

  it.each(codes)('is not done by a client: %s', async code => {
    refuseConnects(code);
    const client = new HttpClient('127.0.0.1', 1, 'store');
    await expect(client.call(CALL)).rejects.toMatchObject({
      fate: Fate.NotDone,
      reason: `connect ${code}`,
    });
    client.close();
  });

  it.each(codes)('is not done by a peer: %s', async code => {
    refuseConnects(code);
    const peer = new HttpPeer('http://127.0.0.1:1', 'store');
    await expect(peer.exchange(CALL)).rejects.toMatchObject({
      fate: Fate.NotDone,
    });
    await peer.close();
  });
});

it('a call on a kept connection that breaks may have been done', async () => {
  let requests = 0;
  const server = createServer((request, response) => {
    if (++requests === 1) {
      response.end();
    } else {
      request.socket.resetAndDestroy();
    }
  });
  let connections = 0;
  server.on('connection', () => connections++);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const peer = new HttpPeer(`http://127.0.0.1:${port}`, 'store');
  await peer.exchange(CALL);
  await expect(peer.exchange(CALL)).rejects.toMatchObject({
    fate: Fate.Unknown,
  });
  expect({requests, connections}).toEqual({requests: 2, connections: 1});
  await peer.close();
  server.close();
});

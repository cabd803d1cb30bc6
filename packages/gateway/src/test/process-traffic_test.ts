import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {expect, it} from 'vitest';

import {ProcessTraffic} from '../process-traffic.js';

it('counts bytes of accepted and opened connections, also after their close', async () => {
  // Guards against bytes of callers that are missing from all counts.
  const traffic = new ProcessTraffic();
  const server = createServer(socket => {
    socket.resume();
    socket.end('answer');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const before = traffic.received;
  const socket = connect(port, '127.0.0.1');
  socket.resume();
  socket.end('a request');
  await once(socket, 'close');
  server.close();
  await once(server, 'close');
  expect(traffic.received.fromCallers - before.fromCallers).toBe(9);
  expect(traffic.received.inAll - before.inAll).toBe(15);
  expect(traffic.sent).toEqual({toCallers: 6, inAll: 15});
  traffic.close();
});

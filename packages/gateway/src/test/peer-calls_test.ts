import {StepError, UncongestedLink} from '@wisteriadeal/platform';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import {ConnectStreamOriginPeers} from '../stream-origins/index.js';

const HEAD =
  'HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n';

let server: Server | undefined;

afterEach(() => {
  server?.close();
});

describe('a call to another host', () => {
  it('fails if its answer ends inside its head', async () => {
    // Guards against an empty message that is taken for what the host knows.
    let bytes = 0;
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.end(HEAD.slice(0, bytes));
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const peers = new ConnectStreamOriginPeers(new UncongestedLink());
    for (; bytes < HEAD.length; bytes++) {
      await expect(peers.past(`127.0.0.1:${port}`)).rejects.toThrow(StepError);
    }
    // The whole head is that of an empty message.
    expect((await peers.past(`127.0.0.1:${port}`)).builds).toEqual([]);
    peers.close();
  });
});

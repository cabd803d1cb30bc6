import {StepError, UncongestedLink} from '@wisteriadeal/platform';
import {GrantLoanService} from '@wisteriadeal/schema';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import type {LoanHolder} from '../loan-peers.js';
import {PeerServer} from '../peer-server.js';
import {ConnectStreamOriginPeers} from '../stream-origins/index.js';
import {ConnectTopicCopyPeers, TopicCopyHolder} from '../topic-copies/index.js';

const HEAD =
  'HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n';

/** The longest message that is read, and what the sockets on both sides hold. */
const MAXIMUM_SENT_BYTES = 24 * 1_048_576;
const PART = new Uint8Array(8_192);

class EndlessCopies extends TopicCopyHolder {
  sentBytes = 0;

  override async *partsOf(): AsyncIterable<Uint8Array> {
    for (;;) {
      this.sentBytes += PART.length;
      yield await Promise.resolve(PART);
    }
  }
}

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

  it('fails if its answer does not end', async () => {
    // Guards against a host whose memory another one takes up.
    const piece = `4000\r\n${'x'.repeat(16_384)}\r\n`;
    let sentBytes = 0;
    server = createServer(socket => {
      const send = () => {
        while (!socket.destroyed && socket.write(piece)) {
          sentBytes += piece.length;
        }
      };
      socket.on('error', () => undefined).on('drain', send);
      socket.once('data', () => {
        socket.write(
          'HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n' +
            'Transfer-Encoding: chunked\r\n\r\n',
        );
        send();
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const peers = new ConnectStreamOriginPeers(new UncongestedLink());
    await expect(peers.past(`127.0.0.1:${port}`)).rejects.toThrow(StepError);
    peers.close();
    expect(sentBytes).toBeLessThan(MAXIMUM_SENT_BYTES);
  });

  it('fails if a copy of a topic does not end', async () => {
    // Guards against a host that follows a copy until its memory is full.
    const copies = new EndlessCopies();
    const peerServer = await PeerServer.listen(
      {address: '127.0.0.1', port: 0},
      {loans: {} as LoanHolder, copies},
    );
    const peers = new ConnectTopicCopyPeers(new UncongestedLink());
    await expect(
      peers.find(
        peerServer.address,
        {topic: 'keyed.op', position: 0},
        AbortSignal.timeout(10_000),
      ),
    ).rejects.toThrow(/more than/);
    expect(copies.sentBytes).toBeLessThan(MAXIMUM_SENT_BYTES);
    peers.close();
    await peerServer.close();
  });
});

describe('a server for other hosts', () => {
  it.each(['HTTP/1.0', 'HTTP/1.1\r\nHost: ['])(
    'answers a call without a valid host: %j',
    async rest => {
      // Guards against one malformed request that ends the process with all others.
      const peerServer = await PeerServer.listen(
        {address: '127.0.0.1', port: 0},
        {loans: {} as LoanHolder},
      );
      const [host, port] = peerServer.address.split(':');
      const socket = connect({host, port: Number(port)});
      const path = `/${GrantLoanService.typeName}/Borrow`;
      socket.write(`POST ${path} ${rest}\r\n\r\n`);
      const [answer] = (await once(socket, 'data')) as [Buffer];
      expect(answer.toString()).toMatch(/^HTTP\/1.1 400 /);
      socket.destroy();
      await peerServer.close();
    },
  );
});

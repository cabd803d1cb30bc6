import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import {Fate, HttpClient, HttpPeer, StepError} from '../index.js';

const HEAD =
  'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Note: a\r\nContent-Length: 0\r\n\r\n';
const FAILED = 'HTTP/1.1 500 Internal Error\r\nContent-Length: 4\r\n\r\nfail';
const BYTES = Array.from({length: HEAD.length}, (_, bytes) => bytes);
const TIMEOUTS = {connect: 500, total: 500};

let server: Server;
/** What the server sends to a request for a number of bytes. */
let answerOf: (bytes: number) => string;

afterEach(() => {
  server.close();
});

async function listen(): Promise<number> {
  server = createServer(socket => {
    socket.on('error', () => {
      // The client destroys connections with answers that it refuses.
    });
    socket.once('data', data => {
      const bytes = Number(/^GET \/(\d+) /.exec(data.toString())?.[1]);
      socket.end(answerOf(bytes));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/** The clients of this package, by how they send a request. */
const CLIENTS = [
  {
    name: 'HttpClient',
    open: (port: number) => {
      const client = new HttpClient('127.0.0.1', port, 'peer');
      return (path: string) =>
        client.call({step: 'read', method: 'GET', path, timeouts: TIMEOUTS});
    },
  },
  {
    name: 'HttpPeer',
    open: (port: number) => {
      const peer = new HttpPeer(`http://127.0.0.1:${port}`, 'peer');
      return (path: string) =>
        peer.exchange({step: 'read', method: 'GET', path, timeouts: TIMEOUTS});
    },
  },
];

describe.each(CLIENTS)('$name', ({open}) => {
  /** The fate or the status of a call for each number of bytes. */
  const outcomes = async () => {
    const call = open(await listen());
    return Promise.all(
      BYTES.map(bytes =>
        call(`/${bytes}`).then(
          ({status}) => status,
          (error: unknown) => (error instanceof StepError ? error.fate : error),
        ),
      ),
    );
  };

  it('fails if the response ends inside its head', async () => {
    // Guards against a response that is taken for whole and empty.
    answerOf = bytes => HEAD.slice(0, bytes);
    const taken = (await outcomes()).filter(
      outcome => outcome !== Fate.Unknown,
    );
    expect(taken).toEqual([]);
  });

  it('takes no status from a head that another one interrupts', async () => {
    // Guards against a success status with the body of a failure.
    answerOf = bytes => HEAD.slice(0, bytes) + FAILED;
    const taken = (await outcomes()).filter(
      outcome => outcome !== Fate.Unknown && outcome !== 500,
    );
    expect(taken).toEqual([]);
  });
});

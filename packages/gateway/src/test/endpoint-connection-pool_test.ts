import {once} from 'node:events';
import {
  createServer,
  request,
  type IncomingMessage,
  type Server,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {
  EndpointConnectionPool,
  MAXIMUM_SAFE_IDLE_MILLISECONDS,
  type EndpointAddress,
} from '../endpoint-connection-pool.js';

let server: Server;
let connections: EndpointConnectionPool;
let endpoint: EndpointAddress;
let opened: number;

beforeEach(async () => {
  opened = 0;
  connections = new EndpointConnectionPool();
  server = createServer();
  server.keepAliveTimeout = 0;
  server.on('connection', () => opened++);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  endpoint = {address: '127.0.0.1', port};
  vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'performance']});
});

afterEach(() => {
  vi.useRealTimers();
  connections.destroy();
  server.closeAllConnections();
  server.close();
});

/** Makes the endpoint's answers state how long it keeps an idle connection. */
function answersWith(keepAlive?: string): void {
  server.on('request', (_request, response) => {
    response.shouldKeepAlive = false;
    response.writeHead(200, {
      Connection: 'keep-alive',
      'Content-Length': '0',
      ...(keepAlive === undefined ? {} : {'Keep-Alive': keepAlive}),
    });
    response.end();
  });
}

async function exchange(): Promise<void> {
  const {address: host, port} = endpoint;
  const outgoing = request({agent: connections, host, port});
  outgoing.end();
  const [answer] = (await once(outgoing, 'response')) as [IncomingMessage];
  const keepAlive = String(answer.headers['keep-alive'] ?? '');
  connections.recordKeepAlive(answer.socket, keepAlive);
  answer.resume();
  await once(outgoing, 'close');
  await turns();
}

async function turns(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

async function stayIdle(milliseconds: number): Promise<void> {
  vi.advanceTimersByTime(milliseconds);
  await turns();
}

describe('a pooled connection', () => {
  it('is reused within the idle timeout that its endpoint states', async () => {
    // Guards against opening a new connection for each request when there are
    // many endpoints.
    answersWith('timeout=10');
    await exchange();
    await stayIdle(7_900);
    await exchange();
    await stayIdle(7_900);
    await exchange();
    expect(opened).toBe(1);
  });

  it('is closed before the idle timeout of its endpoint', async () => {
    answersWith('timeout=2');
    await exchange();
    await stayIdle(1_700);
    await exchange();
    expect(opened).toBe(2);
  });

  it('is closed after the default idle time if its endpoint states no timeout', async () => {
    answersWith();
    await exchange();
    await stayIdle(MAXIMUM_SAFE_IDLE_MILLISECONDS - 100);
    await exchange();
    expect(opened).toBe(1);
    await stayIdle(MAXIMUM_SAFE_IDLE_MILLISECONDS + 100);
    await exchange();
    expect(opened).toBe(2);
  });

  it('is not reused after a long idle time for a request that may run only once', async () => {
    // Guards against losing requests on a connection that was dropped without
    // notice.
    answersWith('timeout=10');
    await exchange();
    await stayIdle(MAXIMUM_SAFE_IDLE_MILLISECONDS - 100);
    connections.closeIdle(endpoint, MAXIMUM_SAFE_IDLE_MILLISECONDS);
    await exchange();
    expect(opened).toBe(1);
    await stayIdle(MAXIMUM_SAFE_IDLE_MILLISECONDS + 100);
    connections.closeIdle(endpoint, MAXIMUM_SAFE_IDLE_MILLISECONDS);
    await exchange();
    expect(opened).toBe(2);
  });
});

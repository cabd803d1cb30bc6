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
  EndpointConnections,
  LONGEST_CERTAIN_IDLE_MILLISECONDS,
  type EndpointAddress,
} from '../endpoint-connections.js';

let server: Server;
let connections: EndpointConnections;
let endpoint: EndpointAddress;
let opened: number;

beforeEach(async () => {
  opened = 0;
  connections = new EndpointConnections();
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

/** The endpoint's answers say for how long it keeps an idle connection. */
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
  connections.answered(answer.socket, keepAlive);
  answer.resume();
  await once(outgoing, 'close');
  await turns();
}

async function turns(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

async function rest(milliseconds: number): Promise<void> {
  vi.advanceTimersByTime(milliseconds);
  await turns();
}

describe('a kept connection', () => {
  it('is used for as long as its endpoint says that it keeps it', async () => {
    // Guards against a new connection for each request where there are many endpoints.
    answersWith('timeout=10');
    await exchange();
    await rest(7_900);
    await exchange();
    await rest(7_900);
    await exchange();
    expect(opened).toBe(1);
  });

  it('is closed before its endpoint closes it', async () => {
    answersWith('timeout=2');
    await exchange();
    await rest(1_700);
    await exchange();
    expect(opened).toBe(2);
  });

  it('is closed after some seconds where its endpoint says nothing', async () => {
    answersWith();
    await exchange();
    await rest(LONGEST_CERTAIN_IDLE_MILLISECONDS - 100);
    await exchange();
    expect(opened).toBe(1);
    await rest(LONGEST_CERTAIN_IDLE_MILLISECONDS + 100);
    await exchange();
    expect(opened).toBe(2);
  });

  it('is not used after a long rest where a request may run once only', async () => {
    // Guards against requests lost on a connection that was dropped without notice.
    answersWith('timeout=10');
    await exchange();
    await rest(LONGEST_CERTAIN_IDLE_MILLISECONDS - 100);
    connections.dropIdle(endpoint, LONGEST_CERTAIN_IDLE_MILLISECONDS);
    await exchange();
    expect(opened).toBe(1);
    await rest(LONGEST_CERTAIN_IDLE_MILLISECONDS + 100);
    connections.dropIdle(endpoint, LONGEST_CERTAIN_IDLE_MILLISECONDS);
    await exchange();
    expect(opened).toBe(2);
  });
});

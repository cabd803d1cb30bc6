import {once} from 'node:events';
import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import {EndpointConnectionPool} from '../endpoint-connection-pool.js';
import {EndpointExchange} from '../endpoint-exchange.js';
import {HeldKind, InputAccount} from '../input-memory/index.js';
import {ANY_ANSWER_DIALECT} from './any-answer-dialect.js';

const connections = new EndpointConnectionPool();
let server: Server | undefined;

afterEach(() => {
  connections.destroy();
  server?.closeAllConnections();
  server?.close();
});

/** Opens an exchange with an endpoint that sends a part every 5 ms. */
function openExchange(parts: number): Promise<EndpointExchange> {
  return openExchangeWith((_request, response) => {
    let sent = 0;
    const timer = setInterval(() => {
      response.write(`part ${++sent};`);
      if (sent === parts) {
        response.end();
      }
    }, 5);
    response.on('close', () => {
      clearInterval(timer);
    });
  });
}

/** Opens an exchange, and waits for the answer's head. */
async function openExchangeWith(
  answer: RequestListener,
  account?: InputAccount,
): Promise<EndpointExchange> {
  const listening = createServer(answer);
  server = listening;
  listening.listen(0, '127.0.0.1');
  await once(listening, 'listening');
  const {port} = listening.address() as AddressInfo;
  const exchange = new EndpointExchange(
    ANY_ANSWER_DIALECT,
    connections,
    {
      id: 'i-1',
      service: 'models',
      address: '127.0.0.1',
      port,
      dataCenter: 'a',
      slots: 1,
      isLeaving: false,
      bornAt: 0,
      sequence: undefined,
      coldMilliseconds: undefined,
      ignoredFields: [],
      build: 'v1',
    },
    {
      method: 'GET',
      target: '/',
      headers: ['Host', 'models'],
      body: undefined,
      attemptId: undefined,
    },
    undefined,
    account,
  );
  await exchange.head();
  return exchange;
}

describe('reading an answer', () => {
  it('passes on each chunk after the one before was consumed', async () => {
    // Guards against reordered chunks while a caller reads slowly.
    const exchange = await openExchange(4);
    let text = '';
    let activeConsumers = 0;
    await exchange.read(async chunk => {
      expect(++activeConsumers).toBe(1);
      await new Promise(resolve => setTimeout(resolve, 12));
      text += chunk.toString();
      activeConsumers--;
    });
    expect(text).toBe('part 1;part 2;part 3;part 4;');
    expect(exchange.isComplete).toBe(true);
  });

  it('counts a whole body until its account is closed', async () => {
    // Guards against memory that floods fill because whole answers are taken for ended.
    const body = Buffer.alloc(200_000);
    const account = new InputAccount({capacityBytes: 300_000});
    const exchange = await openExchangeWith((_request, response) => {
      response.end(body);
    }, account);
    await exchange.readBody();
    account.hold(HeldKind.UnreadAnswer, 'caller').add(150_000);
    expect(account.bytesOf(HeldKind.Answer)).toBe(body.length);
    exchange.close();
    expect(account.bytesOf(HeldKind.Answer)).toBe(0);
  });

  it('ends a body in pieces that take more memory than there is', async () => {
    // Guards against a body of 300 KB in chunks of one byte, which takes 140 MB.
    const account = new InputAccount({capacityBytes: 16_000_000});
    const exchange = await openExchangeWith(({socket}) => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
      socket.write('1\r\nx\r\n'.repeat(100_000));
      socket.write('0\r\n\r\n');
    }, account);
    expect(await exchange.readBody()).toBeUndefined();
    expect(exchange.failureReason).toBe('input limit: process-bytes');
  });

  it('rejects with the error of its consumer and closes the connection', async () => {
    // Guards against one request's error ending the process with all its
    // requests.
    const exchange = await openExchange(1_000);
    await expect(
      exchange.read(() => {
        throw new RangeError('consumer failed');
      }),
    ).rejects.toThrow('consumer failed');
    expect(exchange.isComplete).toBe(false);
    const connected = () =>
      new Promise<number>(resolve => {
        server?.getConnections((_error, count) => {
          resolve(count);
        });
      });
    await expect.poll(connected).toBe(0);
  });

  it.each([
    {headers: {Connection: 'close'}, isWhole: true},
    {headers: {Connection: 'close', 'Content-Length': '5'}, isWhole: true},
    {headers: {Connection: 'close', 'Content-Length': '6'}, isWhole: false},
    {headers: {'Transfer-Encoding': 'chunked'}, isWhole: false},
  ])(
    'tells a whole answer from a broken one that ended before it is read ($headers)',
    async ({headers, isWhole}) => {
      // Guards against a break during the wait for tokens that passes for an end.
      const exchange = await openExchangeWith(({socket}, response) => {
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, headers);
        response.write('whole');
        socket.end();
      });
      await new Promise(resolve => setTimeout(resolve, 30));
      let text = '';
      await exchange.read(chunk => {
        text += chunk.toString();
        return undefined;
      });
      expect(exchange.isComplete).toBe(isWhole);
      expect(text === 'whole' || !isWhole).toBe(true);
    },
  );
});

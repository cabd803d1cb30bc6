import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import type {Dialect} from '../dialect.js';
import {EndpointConnectionPool} from '../endpoint-connection-pool.js';
import {EndpointExchange} from '../endpoint-exchange.js';

const dialect = {
  endpointAnswer: () => ({
    attemptId: undefined,
    isNotRun: false,
    closesConnection: false,
    hasProof: true,
  }),
} as unknown as Dialect;

const connections = new EndpointConnectionPool();
let server: Server | undefined;

afterEach(() => {
  connections.destroy();
  server?.closeAllConnections();
  server?.close();
});

/** Opens an exchange with an endpoint that sends a part every 5 ms. */
async function openExchange(parts: number): Promise<EndpointExchange> {
  const listening = createServer((_request, response) => {
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
  server = listening;
  listening.listen(0, '127.0.0.1');
  await once(listening, 'listening');
  const {port} = listening.address() as AddressInfo;
  const exchange = new EndpointExchange(
    dialect,
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
    },
    {
      method: 'GET',
      target: '/',
      headers: ['Host', 'models'],
      body: undefined,
      attemptId: undefined,
    },
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
});

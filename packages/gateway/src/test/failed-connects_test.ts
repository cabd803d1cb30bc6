import {HostShortage} from '@wisteriadeal/platform';
import {createServer} from 'node:http';
import {once} from 'node:events';
import {Socket, type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {ConnectObserver, type ConnectFailure} from '../connect-observer.js';
import {EndpointConnectionPool} from '../endpoint-connection-pool.js';
import {ConnectionOrigin, EndpointExchange} from '../endpoint-exchange.js';
import type {EndpointEntry} from '../endpoint-entry.js';
import {ANY_ANSWER_DIALECT} from './any-answer-dialect.js';

const ENTRY: EndpointEntry = {
  id: 'i-1',
  service: 'models',
  address: '127.0.0.1',
  port: 1,
  dataCenter: 'a',
  slots: 1,
  isLeaving: false,
  bornAt: 0,
  sequence: undefined,
  coldMilliseconds: undefined,
  ignoredFields: [],
  build: 'v1',
};

/** A pool whose connects fail at once, as the system reports them. */
class FailingPool extends EndpointConnectionPool {
  constructor(private readonly code: string) {
    super();
  }

  override createConnection(): Socket {
    const error = new Error(`connect ${this.code} 127.0.0.1:1`);
    const fields = {code: this.code, syscall: 'connect'};
    const socket = new Socket();
    process.nextTick(() => socket.destroy(Object.assign(error, fields)));
    return socket;
  }
}

class RecordingObserver extends ConnectObserver {
  readonly failures: ConnectFailure[] = [];

  override connected(): void {
    // Only failures are recorded.
  }

  override connectFailed(_endpoint: EndpointEntry, failure: ConnectFailure) {
    this.failures.push(failure);
  }

  override connectionsLost(): void {
    // Only failures are recorded.
  }
}

let observer: RecordingObserver;

beforeEach(() => {
  observer = new RecordingObserver();
});

function exchangeOver(
  connections: EndpointConnectionPool,
  port = 1,
): EndpointExchange {
  connections.setConnectObserver(observer);
  return new EndpointExchange(
    ANY_ANSWER_DIALECT,
    connections,
    {...ENTRY, port},
    {
      method: 'POST',
      target: '/',
      headers: ['Host', 'models'],
      body: Buffer.from('once'),
      attemptId: undefined,
    },
  );
}

describe('a connect that the system refuses at once', () => {
  it.each([
    ['EMFILE', HostShortage.Descriptor],
    ['ENFILE', HostShortage.Descriptor],
    ['EADDRNOTAVAIL', HostShortage.Port],
    ['ENOBUFS', HostShortage.Memory],
    ['ENOMEM', HostShortage.Memory],
    ['ENETUNREACH', HostShortage.Route],
    ['ENETDOWN', HostShortage.Route],
    ['EACCES', undefined],
    ['EINVAL', undefined],
  ])('has sent nothing: %s', async (code, shortage) => {
    // Guards against taking a connection that could not be opened for one that was used.
    const connections = new FailingPool(code);
    const exchange = exchangeOver(connections);
    expect(await exchange.head()).toMatchObject({kind: 'not-sent', shortage});
    expect(exchange.connectionOrigin).toBe(ConnectionOrigin.None);
    expect(observer.failures).toMatchObject([{shortage}]);
    expect(connections.lacksConnections).toBe(shortage !== undefined);
  });
});

describe('a connection that was established', () => {
  const server = createServer(({socket}) => socket.resetAndDestroy());

  afterEach(() => {
    server.close();
  });

  it('may have carried the request', async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const connections = new EndpointConnectionPool();
    const {port} = server.address() as AddressInfo;
    const exchange = exchangeOver(connections, port);
    expect(await exchange.head()).toMatchObject({kind: 'unknown'});
    expect(observer.failures).toEqual([]);
  });
});

import {SystemClock} from '@wisteriadeal/runtime';
import {once} from 'node:events';
import {
  createServer,
  request as sendRequest,
  type RequestListener,
  type Server,
} from 'node:http';
import {
  createServer as createTcpServer,
  Socket,
  type AddressInfo,
} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {
  EndpointConnectionPool,
  type EndpointRequestOptions,
} from '../endpoint-connection-pool.js';
import type {EndpointDirectory} from '../endpoint-directory.js';
import {KnownEndpoint} from '../known-endpoint.js';
import {EndpointExchange} from '../endpoint-exchange.js';
import {GatewayMetrics} from '../gateway-metrics.js';
import type {LoanHolder} from '../loan-peers.js';
import {PeerServer} from '../peer-server.js';
import {RelayDirectory} from '../relay-directory.js';
import {RelayedConnectionPool} from '../relayed-connection-pool.js';
import type {ServiceReachMonitor} from '../service-reach-monitor.js';
import {TunnelServer} from '../tunnel-server.js';
import {ANY_ANSWER_DIALECT} from './any-answer-dialect.js';

const NO_LOANS: LoanHolder = {
  lend: () => Promise.resolve({lent: 0}),
  takeOver: () => false,
};

type Connect = (
  this: Socket,
  ...parameters: Parameters<Socket['connect']>
) => Socket;

/** An answer, or the error that ended the exchange. */
interface Received {
  readonly body: string;
  readonly isComplete: boolean;
  readonly error: string;
}

/** A host that relays, with settings that a test changes. */
class RelayHost {
  isFull = false;
  reachesService = true;
  readonly endpoints = new Map<string, KnownEndpoint>();
  readonly evacuated = new Set<string>();
  readonly tunnels: TunnelServer;
  readonly connections = new EndpointConnectionPool();
  private server: PeerServer | undefined;

  constructor() {
    this.tunnels = new TunnelServer({
      directory: {
        find: (id: string) => this.endpoints.get(id),
        isOpen: ({isOpen, entry}: KnownEndpoint) =>
          isOpen && !this.evacuated.has(entry.dataCenter),
      } as unknown as EndpointDirectory,
      reach: {
        isReachable: () => this.reachesService,
      } as unknown as ServiceReachMonitor,
      connections: this.connections,
      metrics: new GatewayMetrics(),
      isFull: () => this.isFull,
    });
  }

  async listen(): Promise<void> {
    this.server = await PeerServer.listen(
      {address: '127.0.0.1', port: 0},
      {loans: NO_LOANS, tunnels: this.tunnels},
    );
  }

  get address(): string {
    return this.server?.address ?? '';
  }

  async close(): Promise<void> {
    this.tunnels.close();
    this.connections.destroy();
    await this.server?.close();
  }
}

let relays: RelayHost[];
let pool: RelayedConnectionPool;
let endpointServer: Server;
let endpoint: KnownEndpoint;
let answer: RequestListener;

beforeEach(async () => {
  relays = [];
  answer = (_request, response) => {
    response.end('done');
  };
  endpointServer = createServer((request, response) => {
    answer(request, response);
  });
  endpointServer.listen(0, '127.0.0.1');
  await once(endpointServer, 'listening');
  endpoint = endpointAt((endpointServer.address() as AddressInfo).port);
  pool = new RelayedConnectionPool(
    new RelayDirectory({
      peers: () =>
        relays.map(({address}) => ({address, dataCenter: 'kigali-a'})),
      dataCenter: 'kigali-a',
      clock: new SystemClock(),
      fraction: () => 0,
    }),
  );
});

afterEach(async () => {
  vi.useRealTimers();
  vi.restoreAllMocks();
  pool.destroy();
  for (const relay of relays) {
    await relay.close();
  }
  endpointServer.closeAllConnections();
  endpointServer.close();
});

function endpointAt(port: number): KnownEndpoint {
  return new KnownEndpoint({
    id: 'i-1',
    service: 'models',
    address: '127.0.0.1',
    port,
    dataCenter: 'kigali-a',
    slots: 1,
    isLeaving: false,
    bornAt: 0,
    sequence: undefined,
    coldMilliseconds: undefined,
    ignoredFields: [],
    build: 'v1',
  });
}

/** Lets the first connect to a port fail without having left the host. */
function failFirstConnect(port: number, code: string): void {
  const connect = Reflect.get(Socket.prototype, 'connect') as Connect;
  let hasFailed = false;
  const connectOrFail: Connect = function (...parameters) {
    if (hasFailed || !JSON.stringify(parameters).includes(`"port":${port}`)) {
      return connect.apply(this, parameters);
    }
    hasFailed = true;
    const fields = {code, syscall: 'connect'};
    const error = Object.assign(new Error(`connect ${code}`), fields);
    process.nextTick(() => this.destroy(error));
    return this;
  };
  vi.spyOn(Socket.prototype, 'connect').mockImplementation(connectOrFail);
}

async function startRelay(): Promise<RelayHost> {
  const relay = new RelayHost();
  relay.endpoints.set('i-1', endpoint);
  await relay.listen();
  relays.push(relay);
  return relay;
}

/** Sends a request through the pool; `onChunk` gets each part of the answer. */
function exchange(
  onChunk: (destroy: () => void) => void = () => undefined,
  endpointBuild = 'v1',
): Promise<Received> {
  return new Promise(resolve => {
    let body = '';
    const options: EndpointRequestOptions = {
      agent: pool,
      host: endpoint.entry.address,
      port: endpoint.entry.port,
      endpointId: endpoint.entry.id,
      endpointBuild,
    };
    const outgoing = sendRequest(options, incoming => {
      incoming.on('data', (chunk: Buffer) => {
        body += chunk.toString();
        onChunk(() => outgoing.destroy());
      });
      incoming.on('error', () => {
        // `complete` is false if the answer was cut.
      });
      incoming.on('close', () => {
        resolve({body, isComplete: incoming.complete, error: ''});
      });
    });
    outgoing.on('error', error => {
      resolve({body, isComplete: false, error: error.name});
    });
    outgoing.end();
  });
}

describe('a tunnel', () => {
  it('carries several requests over one connection', async () => {
    await startRelay();
    let connections = 0;
    endpointServer.on('connection', () => connections++);
    expect(await exchange()).toMatchObject({body: 'done', isComplete: true});
    expect(await exchange()).toMatchObject({body: 'done', isComplete: true});
    expect(connections).toBe(1);
  });

  it('is refused by a relay that lists the endpoint with another build', async () => {
    // Guards against streams that another build continues through a host that knows of it.
    await startRelay();
    const {error} = await exchange(undefined, 'build 2');
    expect(error).toBe('RelayedConnectError');
  });

  it('does not make a reset look like the end of an answer', async () => {
    // Guards against half an answer without a length that passes for the whole.
    await startRelay();
    answer = (_request, response) => {
      response.useChunkedEncodingByDefault = false;
      response.write('half');
      response.socket?.resetAndDestroy();
    };
    const received = await exchange();
    expect(received.isComplete && received.error === '').toBe(false);
  });

  it('ends the endpoint’s connection when the caller leaves', async () => {
    // Guards against endpoints that go on working for callers that have left.
    await startRelay();
    let hasEnded = false;
    answer = (_request, response) => {
      response.write('part');
      response.on('close', () => {
        hasEnded = true;
      });
    };
    await exchange(destroy => {
      destroy();
    });
    await expect.poll(() => hasEnded).toBe(true);
    await relays[0]?.tunnels.idle();
  });

  it('holds the endpoint back while the caller does not read', async () => {
    // Guards against a relay whose memory a slow reader fills.
    const relay = await startRelay();
    const chunk = Buffer.alloc(1_000_000);
    let written = 0;
    answer = (_request, response) => {
      const write = () => {
        while (written < 200 && response.write(chunk)) {
          written++;
        }
      };
      response.on('drain', write);
      write();
    };
    const options: EndpointRequestOptions = {
      agent: pool,
      host: endpoint.entry.address,
      port: endpoint.entry.port,
      endpointId: endpoint.entry.id,
    };
    const outgoing = sendRequest(options).end();
    outgoing.on('error', () => undefined);
    const [incoming] = (await once(outgoing, 'response')) as [{pause(): void}];
    incoming.pause();
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(written).toBeLessThan(100);
    outgoing.destroy();
    await relay.tunnels.idle();
  });
});

describe('an answer that ends with its tunnel', () => {
  /** Answers without a length, and ends the connection after the second part. */
  function answerInTwoParts(): void {
    answer = (_request, response) => {
      response.useChunkedEncodingByDefault = false;
      response.write('first,');
      setTimeout(() => response.end('second'), 60);
    };
  }

  /** Reads an answer as a request does, and calls `onFirst` after its first part. */
  async function readAnswer(
    onFirst: () => void = () => undefined,
  ): Promise<Received> {
    const open = new EndpointExchange(
      ANY_ANSWER_DIALECT,
      pool,
      endpoint.entry,
      {
        method: 'GET',
        target: '/',
        headers: ['Host', 'models'],
        body: undefined,
        attemptId: undefined,
      },
    );
    await open.head();
    let body = '';
    await open.read(chunk => {
      body += chunk.toString();
      onFirst();
      return undefined;
    });
    return {body, isComplete: open.isComplete, error: open.failureReason};
  }

  it('is complete if its endpoint ended it', async () => {
    await startRelay();
    answerInTwoParts();
    expect(await readAnswer()).toMatchObject({
      body: 'first,second',
      isComplete: true,
    });
  });

  it('is ended with its tunnel if its endpoint sends 1xx responses without end', async () => {
    // Guards against a faulty endpoint that takes up its relay as well.
    const relay = await startRelay();
    answer = ({socket}) => {
      const send = () => {
        while (socket.write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)));
      };
      socket.on('drain', send);
      send();
    };
    expect(await readAnswer()).toMatchObject({
      isComplete: false,
      error: 'input limit: framing-bytes',
    });
    await expect.poll(() => relay.tunnels.openTunnels).toBe(0);
  });

  it('is not complete if the relay closed the tunnel', async () => {
    // Guards against a relay that stops in the middle of an answer.
    const relay = await startRelay();
    answerInTwoParts();
    const received = await readAnswer(() => {
      relay.tunnels.close();
    });
    expect(received).toMatchObject({body: 'first,', isComplete: false});
  });

  it('is not complete if the relay is gone', async () => {
    // Guards against a killed relay whose connections the system closes.
    const relay = await startRelay();
    answerInTwoParts();
    const received = await readAnswer(() => {
      void relay.close();
    });
    expect(received).toMatchObject({body: 'first,', isComplete: false});
  });

  it('is not awaited for an answer without a body', async () => {
    // Guards against answers without a body that are taken for broken ones.
    await startRelay();
    answer = (_request, response) => {
      response.writeHead(204).end();
    };
    expect(await readAnswer()).toMatchObject({body: '', isComplete: true});
  });

  it('is not complete if its endpoint resets the connection with its last bytes', async () => {
    // Guards against a relay that takes a reset for the end of an answer.
    await startRelay();
    answer = ({socket}) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
      socket.resetAndDestroy();
    };
    expect(await readAnswer()).toMatchObject({isComplete: false});
  });

  it('is complete if its endpoint resets the connection after the end', async () => {
    // Guards against whole answers that a late reset takes along.
    await startRelay();
    answer = ({socket}, response) => {
      response.useChunkedEncodingByDefault = false;
      response.end('whole');
      socket.once('end', () => socket.resetAndDestroy());
    };
    expect(await readAnswer()).toMatchObject({
      body: 'whole',
      isComplete: true,
    });
  });
});

describe('a host that needs a relay', () => {
  it('tries another one if the first is full or cut off as well', async () => {
    const full = await startRelay();
    full.isFull = true;
    const cut = await startRelay();
    cut.reachesService = false;
    await startRelay();
    expect(await exchange()).toMatchObject({body: 'done'});
  });

  it('asks hosts that can’t relay only once in a while', async () => {
    // Guards against requests that each ask all cut hosts in turn.
    const cut = await startRelay();
    cut.reachesService = false;
    expect((await exchange()).error).toBe('NoRelayError');
    cut.reachesService = true;
    expect((await exchange()).error).toBe('NoRelayError');
    await new Promise(resolve => setTimeout(resolve, 600));
    expect(await exchange()).toMatchObject({body: 'done'});
  });

  it('does not wait long for a relay that is frozen', async () => {
    const frozen = createTcpServer().listen(0, '127.0.0.1');
    await once(frozen, 'listening');
    const {port} = frozen.address() as AddressInfo;
    const relay = {address: `127.0.0.1:${port}`, close: () => undefined};
    relays.push(relay as unknown as RelayHost);
    await startRelay();
    const startedAt = performance.now();
    expect(await exchange()).toMatchObject({body: 'done'});
    expect(performance.now() - startedAt).toBeLessThan(400);
    frozen.close();
  });

  it('learns that an endpoint accepts no connections', async () => {
    // Guards against a dead endpoint that is held against the relay.
    const relay = await startRelay();
    relay.endpoints.set('i-1', endpointAt(1));
    expect((await exchange()).error).toBe('RelayedConnectError');
    relay.endpoints.set('i-1', endpoint);
    expect(await exchange()).toMatchObject({body: 'done'});
  });

  it.each(['EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM'])(
    'tries another one if the first can open no connection itself: %s',
    async code => {
      // Guards against a relay's own shortage that is taken for an endpoint's end.
      const relay = await startRelay();
      await startRelay();
      const recordFailure = vi.spyOn(relay.connections, 'recordConnectFailure');
      failFirstConnect(endpoint.entry.port, code);
      expect(await exchange()).toMatchObject({body: 'done', isComplete: true});
      const shortages = recordFailure.mock.calls.map(
        ([, failure]) => failure.shortage,
      );
      expect(shortages).toEqual([expect.any(String)]);
      await expect.poll(() => relay.tunnels.openTunnels).toBe(0);
    },
  );

  it('prefers relays that have not failed to reach an endpoint', async () => {
    // Guards against tries that are used up at one relay that is cut off as well.
    const cut = await startRelay();
    cut.endpoints.set('i-1', endpointAt(1));
    await startRelay();
    expect((await exchange()).error).toBe('RelayedConnectError');
    expect(await exchange()).toMatchObject({body: 'done'});
  });

  it('gets no tunnel to an endpoint that is leaving or not listed', async () => {
    // Guards against new requests to a leaving endpoint by hosts with an older list.
    const relay = await startRelay();
    endpoint.entry = {...endpoint.entry, isLeaving: true};
    expect((await exchange()).error).toBe('RelayedConnectError');
    relay.endpoints.clear();
    expect((await exchange()).error).toBe('RelayedConnectError');
  });

  it('gets no tunnel to an endpoint of an evacuated data centre', async () => {
    // Guards against requests there by hosts that have missed the evacuation.
    const relay = await startRelay();
    relay.evacuated.add('kigali-a');
    expect((await exchange()).error).toBe('RelayedConnectError');
  });
});

describe('a relay that stops', () => {
  it('ends the tunnels’ requests and takes no new tunnels', async () => {
    // Guards against requests of other hosts that a graceful stop cuts.
    const relay = await startRelay();
    answer = (_request, response) => {
      response.write('first,');
      setTimeout(() => response.end('second'), 100);
    };
    const running = exchange();
    await expect.poll(() => relay.tunnels.openTunnels).toBe(1);
    relay.tunnels.beginStop();
    expect((await exchange()).error).toBe('NoRelayError');
    expect(await running).toMatchObject({
      body: 'first,second',
      isComplete: true,
    });
    // The tunnel is kept for further requests, and closes by itself.
    await relay.tunnels.idle();
  });
});

describe('a host without descriptors', () => {
  it('does not take its relays for unresponsive', async () => {
    // Guards against a host that gives its relays up for its own shortage.
    const {address} = await startRelay();
    failFirstConnect(Number(address.split(':')[1]), 'EMFILE');
    expect((await exchange()).error).toBe('HostShortageError');
    expect(await exchange()).toMatchObject({body: 'done', isComplete: true});
  });
});

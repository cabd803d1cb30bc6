import {
  hostShortageOf,
  NetworkTimeout,
  type HostShortage,
} from '@wisteriadeal/platform';
import {STATUS_CODES, type IncomingMessage} from 'node:http';
import {connect, type Socket} from 'node:net';

import {endsInOrder} from './connection-end.js';
import type {EndpointConnectionPool} from './endpoint-connection-pool.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {KnownEndpoint} from './known-endpoint.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {ServiceReachMonitor} from './service-reach-monitor.js';
import {TunnelEnds} from './tunnel-ends.js';
import {
  TUNNEL_BUILD_HEADER,
  TUNNEL_CALL_HEADER,
  TUNNEL_ENDPOINT_HEADER,
  TUNNEL_ID_HEADER,
  TunnelStatus,
} from './tunnel-protocol.js';

/** Dependencies of `TunnelServer`. */
export interface TunnelServerParts {
  readonly directory: EndpointDirectory;
  readonly reach: ServiceReachMonitor;
  /** Measures connects, and limits the time that they may take. */
  readonly connections: EndpointConnectionPool;
  readonly metrics: GatewayMetrics;
  /** Whether this host has no capacity left for the callers of other hosts. */
  isFull(): boolean;
}

/** Maximum number of open tunnels; each takes two sockets and their buffers. */
const MAXIMUM_TUNNELS = 512;
/**
 * Time in which the other host asks how a tunnel ended, milliseconds; a stop
 * waits for it.
 */
const END_QUERY_MILLISECONDS = 200;
/** Idle time after which the system checks whether the other host still exists. */
const KEEP_ALIVE_MILLISECONDS = 5_000;

/**
 * Relays connections to endpoints for hosts that have lost their own paths to them. The
 * other host keeps its callers' requests, budgets and bills; this one forwards bytes, so
 * that a tunnel's end, reset and flow control are those of the endpoint's connection.
 *
 * Tunnels are opened to listed endpoints only, and directly: a relay never uses another
 * one.
 */
export class TunnelServer {
  private readonly tunnels = new Set<Tunnel>();
  private readonly ends = new TunnelEnds();
  private isStopping = false;
  private onIdle: (() => void) | undefined;

  constructor(private readonly parts: TunnelServerParts) {}

  /**
   * Whether a tunnel was ended by its endpoint. The end of a connection is all
   * that marks the end of an answer without a length, and a tunnel also ends
   * when its relay does.
   */
  wasEndedByEndpoint(tunnelId: string): boolean {
    return this.ends.has(tunnelId);
  }

  /** Number of tunnels that are open or being opened. */
  get openTunnels(): number {
    return this.tunnels.size;
  }

  /** Handles a CONNECT request of another host. */
  accept(request: IncomingMessage, socket: Socket): void {
    const id = String(request.headers[TUNNEL_ENDPOINT_HEADER] ?? '');
    const endpoint = this.parts.directory.find(id);
    if (
      endpoint === undefined ||
      !(isCall(request) || this.parts.directory.isOpen(endpoint)) ||
      !hasNamedBuild(endpoint, request)
    ) {
      this.refuse(socket, TunnelStatus.EndpointUnknown);
    } else if (!endpoint.conditions.rest.mayTake(performance.now())) {
      this.refuse(socket, TunnelStatus.EndpointAtRest);
    } else if (this.canRelayTo(endpoint)) {
      this.open(
        endpoint,
        socket,
        String(request.headers[TUNNEL_ID_HEADER] ?? ''),
      );
    } else {
      this.refuse(socket, TunnelStatus.Unavailable);
    }
  }

  /**
   * Refuses new tunnels. Those that are open may get further requests until
   * `TUNNEL_REUSE_MILLISECONDS` after they were opened.
   */
  beginStop(): void {
    this.isStopping = true;
  }

  /** Resolves when no tunnel is open. */
  async idle(): Promise<void> {
    if (this.tunnels.size > 0) {
      await new Promise<void>(resolve => {
        this.onIdle = resolve;
      });
    }
  }

  /** Closes all tunnels immediately. */
  close(): void {
    this.isStopping = true;
    for (const tunnel of this.tunnels) {
      tunnel.close();
    }
  }

  private canRelayTo({entry}: KnownEndpoint): boolean {
    return (
      !this.isStopping &&
      this.tunnels.size < MAXIMUM_TUNNELS &&
      !this.parts.isFull() &&
      this.parts.reach.isReachable(entry.service)
    );
  }

  private refuse(socket: Socket, status: TunnelStatus): void {
    this.parts.metrics.tunnelAnswered(status);
    endWith(socket, status);
  }

  private open(endpoint: KnownEndpoint, socket: Socket, id: string): void {
    const {connections, metrics} = this.parts;
    const tunnel = new Tunnel(endpoint, socket, connections, status => {
      metrics.tunnelAnswered(status);
    });
    this.tunnels.add(tunnel);
    let isEndKept = false;
    void tunnel.whenEnded.then(isInOrder => {
      if (isInOrder) {
        isEndKept = true;
        this.ends.record(id);
      }
    });
    tunnel.onClosed(() => {
      if (isEndKept) {
        setTimeout(() => {
          this.remove(tunnel);
        }, END_QUERY_MILLISECONDS).unref();
      } else {
        this.remove(tunnel);
      }
    });
  }

  private remove(tunnel: Tunnel): void {
    this.tunnels.delete(tunnel);
    if (this.tunnels.size === 0) {
      this.onIdle?.();
    }
  }
}

/** One relayed connection. */
class Tunnel {
  /** Resolves with whether the endpoint ended its connection in order. */
  readonly whenEnded: Promise<boolean>;
  private readonly outbound: Socket;
  private readonly startedAt = performance.now();
  private readonly connectTimeout: NetworkTimeout;
  private isOpen = false;

  /** @param inbound The connection from the other host. */
  constructor(
    private readonly endpoint: KnownEndpoint,
    private readonly inbound: Socket,
    private readonly connections: EndpointConnectionPool,
    private readonly onAnswered: (status: TunnelStatus) => void,
  ) {
    const {address, port} = endpoint.entry;
    this.outbound = connect({host: address, port, noDelay: true});
    this.whenEnded = endsInOrder(this.outbound);
    this.connectTimeout = new NetworkTimeout(
      connections.connectTimeoutMilliseconds,
      () => {
        this.connectFailed('connect timeout');
      },
    );
    this.outbound.once('connect', () => {
      this.connected();
    });
    this.outbound.on('error', error => {
      if (this.isOpen) {
        // A reset must not look like the end of an answer without a length.
        inbound.resetAndDestroy();
      } else {
        this.connectFailed(error.message, hostShortageOf(error));
      }
    });
    this.outbound.once('close', () => {
      this.connectTimeout.close();
      if (this.isOpen && !this.outbound.readableEnded) {
        inbound.destroy();
      }
    });
    inbound.setNoDelay(true);
    inbound.setKeepAlive(true, KEEP_ALIVE_MILLISECONDS);
    inbound.on('error', () => {
      // The other host has closed the tunnel; 'close' follows.
    });
    for (const event of ['end', 'close']) {
      inbound.once(event, () => {
        this.outbound.destroy();
      });
    }
  }

  /** Sets the listener for the end of the tunnel. */
  onClosed(listener: () => void): void {
    this.inbound.once('close', listener);
  }

  close(): void {
    this.inbound.destroy();
  }

  private connected(): void {
    this.connectTimeout.close();
    this.connections.recordConnect(this.endpoint.entry, this.startedAt);
    this.isOpen = true;
    this.onAnswered(TunnelStatus.Open);
    this.inbound.write(responseHead(TunnelStatus.Open));
    this.outbound.pipe(this.inbound);
    this.inbound.pipe(this.outbound);
  }

  private connectFailed(reason: string, shortage?: HostShortage): void {
    if (this.isOpen || this.inbound.destroyed) {
      return;
    }
    const {connections, endpoint, startedAt} = this;
    const failure = {startedAt, reason, shortage};
    connections.recordConnectFailure(endpoint.entry, failure);
    const status =
      shortage === undefined
        ? TunnelStatus.EndpointUnreachable
        : TunnelStatus.Unavailable;
    this.onAnswered(status);
    endWith(this.inbound, status);
    this.outbound.destroy();
  }
}

/** Answers a CONNECT request without opening a tunnel. */
function endWith(socket: Socket, status: TunnelStatus): void {
  socket.on('error', () => {
    // The other host has already given up.
  });
  socket.end(responseHead(status), () => {
    socket.destroy();
  });
}

function responseHead(status: TunnelStatus): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n\r\n`;
}

/** Whether a tunnel is for a call to the endpoint itself. */
function isCall({headers}: IncomingMessage): boolean {
  return headers[TUNNEL_CALL_HEADER] !== undefined;
}

/** Whether an endpoint has the build that a CONNECT request names, if it names one. */
function hasNamedBuild(
  {entry}: KnownEndpoint,
  {headers}: IncomingMessage,
): boolean {
  const build = headers[TUNNEL_BUILD_HEADER];
  return build === undefined || build === encodeURIComponent(entry.build);
}

import {
  HostShortage,
  HostShortageError,
  hostShortageOf,
  NetworkTimeout,
  type HostLink,
} from '@wisteriadeal/platform';
import {randomUUID} from 'node:crypto';
import {request, type ClientRequest, type ClientRequestArgs} from 'node:http';
import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

import {
  EndpointConnectionPool,
  type EndpointRequestOptions,
} from './endpoint-connection-pool.js';
import {listenAddress} from './listening.js';
import type {Relay, RelayDirectory} from './relay-directory.js';
import {NoRelayError, RelayedConnectError} from './relay-errors.js';
import {wasEndedByEndpoint} from './tunnel-end-query.js';
import {
  TUNNEL_BUILD_HEADER,
  TUNNEL_CALL_HEADER,
  TUNNEL_ENDPOINT_HEADER,
  TUNNEL_ID_HEADER,
  TunnelStatus,
} from './tunnel-protocol.js';

/**
 * Longest time after its opening in which a tunnel may get further requests. A stopping
 * relay accepts no new tunnels, so the last request comes this long after its stop began.
 * That is before the end of its deregistration delay, and needs no notice to other hosts.
 */
const TUNNEL_REUSE_MILLISECONDS = 2_000;
/** Largest part of a relay's grace period in which its tunnels get further requests. */
const TUNNEL_REUSE_GRACE_FRACTION = 0.25;
/** Timeout of a relay: its own connect timeout, and a round trip between hosts. */
const RELAY_TIMEOUT_MILLISECONDS = 150;
/** Relays tried for one connection; a frozen one costs its timeout. */
const MAXIMUM_RELAYS = 3;
/** Timeout for all of them, for the reason given at the direct connect timeout. */
const MAXIMUM_TUNNEL_MILLISECONDS = 400;

/** The endpoint that a tunnel leads to. */
interface TunnelTarget {
  /** `IP:port`, for the request line. */
  readonly authority: string;
  readonly endpointId: string;
  readonly endpointBuild: string | undefined;
  readonly isCall: boolean;
}

/** A tunnel as its relay knows it. */
interface OpenTunnel {
  readonly id: string;
  readonly relayAddress: string;
  /** On the monotonic clock, milliseconds. */
  readonly openedAt: number;
}

/** Response to a CONNECT request; the socket is usable only if the tunnel is open. */
interface TunnelResponse {
  readonly status: number;
  readonly socket: Socket;
}

/**
 * Connections to the endpoints of one service through other hosts, for a host that has
 * lost its own paths to them.
 */
export class RelayedConnectionPool extends EndpointConnectionPool {
  override readonly isDirect = false;

  /** Asks the relay, whose own end closes its tunnels as well. */
  override readonly confirmEnd = (socket: Socket): Promise<boolean> => {
    const tunnel = this.tunnels.get(socket);
    return tunnel === undefined
      ? Promise.resolve(false)
      : wasEndedByEndpoint(
          tunnel.relayAddress,
          tunnel.id,
          RELAY_TIMEOUT_MILLISECONDS + this.link.delayMilliseconds,
        );
  };

  private readonly tunnels = new WeakMap<Duplex, OpenTunnel>();
  private readonly reuseMilliseconds: number;

  /**
   * @param relays Hosts that may relay to the service.
   * @param stopGraceMilliseconds Time from a relay's stop signal to its end.
   */
  constructor(
    private readonly relays: RelayDirectory,
    link?: HostLink,
    stopGraceMilliseconds = Infinity,
  ) {
    super(link);
    this.reuseMilliseconds = Math.min(
      TUNNEL_REUSE_MILLISECONDS,
      stopGraceMilliseconds * TUNNEL_REUSE_GRACE_FRACTION,
    );
  }

  override createConnection(
    options: ClientRequestArgs & Partial<EndpointRequestOptions>,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): undefined {
    const {host, port, endpointId, endpointBuild, isCall = false} = options;
    const target = {
      authority: `${host ?? ''}:${port ?? ''}`,
      endpointId: endpointId ?? '',
      endpointBuild,
      isCall,
    };
    this.openTunnel(target).then(
      socket => callback?.(null, socket),
      (error: unknown) => {
        // The callback ignores the stream if there is an error.
        const reason =
          error instanceof Error ? error : new Error(String(error));
        callback?.(reason, new Socket());
      },
    );
    return undefined;
  }

  override openSince(socket: Socket): number {
    return this.tunnels.get(socket)?.openedAt ?? performance.now();
  }

  /** Also closes a tunnel that is too old for further requests. */
  override keepSocketAlive(socket: Socket): boolean {
    const openedAt = this.tunnels.get(socket)?.openedAt ?? -Infinity;
    const age = performance.now() - openedAt;
    const left = this.reuseMilliseconds - age;
    return left > 0 && super.keepSocketAlive(socket, left);
  }

  /**
   * @throws NoRelayError if no host relays to the service.
   * @throws RelayedConnectError if the endpoint does not accept the connection.
   * @throws HostShortageError if this host could not begin a connect to a relay.
   */
  private async openTunnel(target: TunnelTarget): Promise<Socket> {
    const tried = new Set<Relay>();
    const until = performance.now() + MAXIMUM_TUNNEL_MILLISECONDS;
    while (tried.size < MAXIMUM_RELAYS && performance.now() < until) {
      const relay = this.relays.choose(tried);
      if (relay === undefined) {
        break;
      }
      tried.add(relay);
      const timeout = Math.min(
        RELAY_TIMEOUT_MILLISECONDS + this.link.delayMilliseconds,
        until - performance.now(),
      );
      const socket = await this.openThrough(relay, target, timeout);
      if (socket !== undefined) {
        return socket;
      }
    }
    throw new NoRelayError(`no relay; ${tried.size} tried`);
  }

  /** Resolves with undefined if another relay should be tried. */
  private async openThrough(
    relay: Relay,
    target: TunnelTarget,
    milliseconds: number,
  ): Promise<Socket | undefined> {
    const {address} = relay.host;
    const id = randomUUID();
    const response = await requestTunnel(address, target, id, milliseconds);
    if (response?.status === TunnelStatus.Open) {
      this.relays.recordSuccess(relay);
      this.track(response.socket, relay, id);
      return response.socket;
    }
    response?.socket.destroy();
    switch (response?.status) {
      case TunnelStatus.EndpointUnknown:
      case TunnelStatus.EndpointUnreachable:
        this.relays.recordEndpointFailure(relay, target.endpointId);
        throw new RelayedConnectError(
          `relay ${address} answered ${response.status}`,
        );
      case TunnelStatus.EndpointAtRest:
        return undefined;
      default:
        this.relays.recordFailure(relay);
        return undefined;
    }
  }

  private track(socket: Socket, relay: Relay, id: string): void {
    const relayAddress = relay.host.address;
    const openedAt = performance.now();
    this.tunnels.set(socket, {id, relayAddress, openedAt});
    socket.setNoDelay(true);
    relay.openConnections++;
    socket.once('close', () => {
      relay.openConnections--;
    });
  }
}

/**
 * Sends a CONNECT request; resolves with undefined if there is no response in time.
 *
 * @throws HostShortageError if this host could not begin the connect.
 */
function requestTunnel(
  relayAddress: string,
  {authority, endpointId, endpointBuild, isCall}: TunnelTarget,
  tunnelId: string,
  milliseconds: number,
): Promise<TunnelResponse | undefined> {
  const {address, port} = listenAddress(relayAddress);
  return new Promise((resolve, reject) => {
    const outgoing: ClientRequest = request({
      agent: false,
      host: address,
      port,
      method: 'CONNECT',
      path: authority,
      headers: {
        [TUNNEL_ENDPOINT_HEADER]: endpointId,
        ...(endpointBuild === undefined
          ? {}
          : {[TUNNEL_BUILD_HEADER]: encodeURIComponent(endpointBuild)}),
        ...(isCall ? {[TUNNEL_CALL_HEADER]: '1'} : {}),
        [TUNNEL_ID_HEADER]: tunnelId,
      },
    });
    const timeout = new NetworkTimeout(milliseconds, () => {
      outgoing.destroy();
    });
    outgoing.once('connect', (incoming, socket) => {
      timeout.close();
      resolve(
        socket instanceof Socket
          ? {status: incoming.statusCode ?? 0, socket}
          : undefined,
      );
    });
    outgoing.on('error', error => {
      // 'close' follows.
      const shortage = hostShortageOf(error);
      if (shortage !== undefined && shortage !== HostShortage.Route) {
        reject(new HostShortageError(shortage, error.message));
      }
    });
    outgoing.once('close', () => {
      timeout.close();
      resolve(undefined);
    });
    outgoing.end();
  });
}

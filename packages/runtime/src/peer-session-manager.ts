import {
  Http2SessionManager,
  type ConnectTransportOptions,
} from '@connectrpc/connect-node';
import type {
  ClientHttp2Session,
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';

/** The interface through which a transport uses a connection. */
type SessionManager = NonNullable<
  Extract<ConnectTransportOptions, {httpVersion: '2'}>['sessionManager']
>;

/** How a lost connection to a peer is detected. */
export interface PeerPings {
  /** Interval between HTTP/2 PING frames, in milliseconds. */
  readonly pingIntervalMs: number;
  /** Time after which a missing answer ends the connection, in milliseconds. */
  readonly pingTimeoutMs: number;
}

/**
 * Manages the HTTP/2 connection to one peer.
 *
 * The library's manager removes its error listener as soon as it replaces a
 * connection. If the connection was destroyed with an error that is emitted only
 * after that, as when a peer sends GOAWAY at its stop, the error has no listener
 * and ends this process. Each connection therefore keeps a listener of its own.
 * The error itself is reported by the streams of the connection.
 *
 * @example
 * ```ts
 * const sessionManager = new PeerSessionManager('http://10.0.0.1:7000', {
 *   pingIntervalMs: 1_000,
 *   pingTimeoutMs: 2_000,
 * });
 * createConnectTransport({httpVersion: '2', baseUrl, sessionManager});
 * ```
 */
export class PeerSessionManager implements SessionManager {
  private readonly manager: Http2SessionManager;
  private readonly sessions = new WeakSet<ClientHttp2Session>();

  /** @param baseUrl URL of the peer, with scheme and port. */
  constructor(baseUrl: string, pings: PeerPings) {
    this.manager = new Http2SessionManager(baseUrl, pings);
  }

  get authority(): string {
    return this.manager.authority;
  }

  async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const stream = await this.manager.request(method, path, headers, options);
    this.keepErrorListener(stream.session);
    return stream;
  }

  notifyResponseByteRead(stream: ClientHttp2Stream): void {
    this.manager.notifyResponseByteRead(stream);
  }

  private keepErrorListener(session: ClientHttp2Stream['session']): void {
    const clientSession = session as ClientHttp2Session | undefined;
    if (clientSession !== undefined && !this.sessions.has(clientSession)) {
      this.sessions.add(clientSession);
      clientSession.on('error', () => undefined);
    }
  }
}

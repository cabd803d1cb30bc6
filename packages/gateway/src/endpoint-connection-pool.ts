import {UncongestedLink, type HostLink} from '@wisteriadeal/platform';
import {
  Agent,
  request as sendRequest,
  type AgentOptions,
  type ClientRequest,
  type ClientRequestArgs,
  type RequestOptions,
} from 'node:http';
import {connect, type NetConnectOpts, type Socket} from 'node:net';
import type {Duplex} from 'node:stream';

import type {ConnectFailure, ConnectObserver} from './connect-observer.js';
import {endsInOrder} from './connection-end.js';
import type {EndpointEntry} from './endpoint-entry.js';
import {MINIMUM_TURN_BYTES, TurnBudget} from './input-limits/index.js';
import {OpenConnections} from './open-connections.js';

/**
 * Maximum idle time of a pooled connection that is used for a request that may
 * run only once. Endpoints close idle connections, some without notice, and a
 * request that crosses the close may or may not have run.
 */
export const MAXIMUM_SAFE_IDLE_MILLISECONDS = 4_000;
/**
 * Fraction of the idle timeout stated by an endpoint after which a connection
 * is closed, so that a request still gets there before the timeout.
 */
const IDLE_TIMEOUT_FACTOR = 0.8;
/**
 * Maximum idle time of a pooled connection, regardless of the timeout that its
 * endpoint states.
 */
const MAXIMUM_IDLE_MILLISECONDS = 15_000;
const KEEP_ALIVE_TIMEOUT_PATTERN = /(?:^|[ ,])timeout=(\d+)/;

/**
 * Connect timeout, after which the request goes to another endpoint; this is
 * safe, as nothing was sent. Data centres are less than 2 ms apart and a
 * handshake takes 1 ms.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 120;
/**
 * Upper limit of the connect timeout, however congested the host's link is.
 * After a longer wait the endpoint may have been listed as leaving, and the
 * request's remaining time is shorter than the value sent with it.
 */
const MAXIMUM_CONNECT_TIMEOUT_MILLISECONDS = 400;
/** Time after a connect that this host could not begin in which it prefers kept ones. */
const SHORTAGE_MILLISECONDS = 100;
/** Number of recent connects that the moving average reflects. */
const CONNECT_MEAN_SAMPLES = 16;

/**
 * Maximum number of bytes that are read at a time. All of them pass through the HTTP
 * parser in one go, which takes microseconds for each chunk of a body.
 */
const READ_BYTES = 8 * 1024;
/** Bytes of a paused answer after which its connection is not read further; each chunk has a buffer. */
const BUFFERED_BYTES = 512;
/** Shared by all connections, as each read is copied before the next one begins. */
const READ_BUFFER = Buffer.allocUnsafeSlow(READ_BYTES);
/** For connections that get the minimum of a turn. */
const SMALL_READ_BUFFER = READ_BUFFER.subarray(0, MINIMUM_TURN_BYTES);

/** Options of a request to an endpoint. */
export interface EndpointRequestOptions extends RequestOptions {
  readonly endpointId: string;
  /** Build that the endpoint is expected to have, as far as that matters. */
  readonly endpointBuild?: string;
  /** Whether it is a call to the endpoint itself, which may be leaving. */
  readonly isCall?: boolean;
}

/** What the pool adds to the options of a request that shares no connection. */
interface UnsharedOptions {
  /** Differs from that of all other requests. */
  readonly unsharedNumber?: number;
}

/** Network address of an endpoint. */
export interface EndpointAddress {
  readonly address: string;
  readonly port: number;
}

/** Numbers of a pool's connections. */
export interface PoolCounts {
  readonly used: number;
  readonly kept: number;
}

/**
 * Listeners and timer that close an idle connection; removed when it is reused.
 */
interface IdleGuard {
  readonly idleSince: number;
  readonly onData: () => void;
  readonly onClose: () => void;
  readonly timer: NodeJS.Timeout;
}

/**
 * Keep-alive connections to endpoints. A connection on which data arrives while
 * it is idle is closed: the bytes belong to no request and would be taken for
 * the answer to the next one.
 */
export class EndpointConnectionPool extends Agent {
  /**
   * Whether the end of a connection is that of the endpoint's connection, so
   * that it may mark the end of an answer without a length.
   */
  readonly confirmEnd: (socket: Socket) => Promise<boolean> = socket =>
    this.ends.get(socket) ?? Promise.resolve(false);

  /** Whether its connections lead to endpoints without another host between. */
  readonly isDirect: boolean = true;

  /** Share of the event loop's turns that answers on its connections have. */
  readonly turns = new TurnBudget();

  /** Connections that were opened to endpoints directly. */
  readonly open = new OpenConnections(endpoint => {
    this.observer?.connectionsLost(endpoint);
  });

  /** Whether each connection is ended in order by its endpoint. */
  private readonly ends = new WeakMap<Socket, Promise<boolean>>();
  private readonly guards = new WeakMap<Socket, IdleGuard>();
  private meanConnectMilliseconds = 0;
  private readonly idleLimits = new WeakMap<Socket, number>();
  private observer: ConnectObserver | undefined;
  private shortUntil = -Infinity;
  private nextUnsharedNumber = 0;

  /** @param link This host's link; connects take longer while it is full. */
  constructor(
    protected readonly link: HostLink = new UncongestedLink(),
    options: AgentOptions = {},
  ) {
    super({keepAlive: true, scheduling: 'lifo', noDelay: true, ...options});
  }

  /**
   * Sends a request over a connection that no other request has used or will use. An
   * endpoint may repeat an answer late, and where an answer doesn't name its request only the
   * connection tells whose it is.
   *
   * @example
   * const outgoing = connections.requestUnshared({
   *   host: endpoint.address,
   *   port: endpoint.port,
   *   path: '/',
   *   endpointId: endpoint.id,
   * });
   */
  requestUnshared(options: EndpointRequestOptions): ClientRequest {
    const unshared: EndpointRequestOptions & UnsharedOptions = {
      ...options,
      agent: this,
      unsharedNumber: this.nextUnsharedNumber++,
    };
    const outgoing = sendRequest(unshared);
    outgoing.shouldKeepAlive = false;
    return outgoing;
  }

  /** Connections with different names are not shared. */
  override getName(options?: ClientRequestArgs & UnsharedOptions): string {
    const name = super.getName(options);
    const number = options?.unsharedNumber;
    return number === undefined ? name : `${name}:${number}`;
  }

  /**
   * Closes idle connections to an endpoint that may be unreachable, so that the
   * next request opens a new one. If that connect fails, nothing was sent and
   * any request may go to another endpoint; on a pooled connection it would
   * hang, and might have run.
   *
   * @param minimumIdleMilliseconds Connections that were idle for less time are
   *     kept.
   */
  closeIdle(
    {address, port}: EndpointAddress,
    minimumIdleMilliseconds = 0,
  ): void {
    const idle = this.freeSockets[this.getName({host: address, port})] ?? [];
    const before = performance.now() - minimumIdleMilliseconds;
    for (const socket of [...idle]) {
      if ((this.guards.get(socket)?.idleSince ?? -Infinity) <= before) {
        socket.destroy();
      }
    }
  }

  /**
   * Closes the connections to any endpoint that have been idle for longest.
   *
   * @param count Number of connections to close.
   * @returns Number of connections that were closed.
   */
  closeLongestIdle(count: number): number {
    const idleSince = (socket: Socket) =>
      this.guards.get(socket)?.idleSince ?? -Infinity;
    const closed = Object.values(this.freeSockets)
      .flatMap(sockets => sockets ?? [])
      .filter(socket => !socket.destroyed)
      .sort((one, other) => idleSince(one) - idleSince(other))
      .slice(0, count);
    for (const socket of closed) {
      socket.destroy();
    }
    return closed.length;
  }

  /** Whether a connection to an endpoint is idle, so that a request can use it. */
  hasIdle({address, port}: EndpointAddress): boolean {
    const idle = this.freeSockets[this.getName({host: address, port})] ?? [];
    return idle.some(socket => !socket.destroyed);
  }

  /**
   * Records the idle timeout that an endpoint states for a connection.
   *
   * @param keepAlive The answer's `Keep-Alive` header; empty if there is none.
   */
  recordKeepAlive(socket: Socket, keepAlive: string): void {
    const seconds = KEEP_ALIVE_TIMEOUT_PATTERN.exec(keepAlive)?.[1];
    if (seconds !== undefined) {
      const limit = Number(seconds) * 1_000 * IDLE_TIMEOUT_FACTOR;
      this.idleLimits.set(socket, Math.min(limit, MAXIMUM_IDLE_MILLISECONDS));
    }
  }

  /**
   * Time since which what answers on a connection has been running, at the latest;
   * monotonic clock, milliseconds.
   */
  openSince(socket: Socket): number {
    return this.open.since(socket);
  }

  /** Moving average of the time of successful connects, milliseconds. */
  get connectMilliseconds(): number {
    return this.meanConnectMilliseconds;
  }

  /** Sets the observer of connects, replacing any earlier one. */
  setConnectObserver(observer: ConnectObserver): void {
    this.observer = observer;
  }

  /**
   * Records a successful connect.
   *
   * @param startedAt Monotonic clock, milliseconds.
   */
  recordConnect(endpoint: EndpointEntry, startedAt: number): void {
    const milliseconds = performance.now() - startedAt;
    this.observer?.connected(endpoint, startedAt);
    this.link.recordConnection(milliseconds);
    this.link.recordArrival(milliseconds);
    this.meanConnectMilliseconds +=
      (milliseconds - this.meanConnectMilliseconds) / CONNECT_MEAN_SAMPLES;
  }

  /**
   * Records that an endpoint refused a connect or did not accept it in time, or that this
   * host could not begin it.
   */
  recordConnectFailure(endpoint: EndpointEntry, failure: ConnectFailure): void {
    if (failure.shortage !== undefined) {
      this.shortUntil = performance.now() + SHORTAGE_MILLISECONDS;
    }
    if (!this.isLinkLate || failure.shortage !== undefined) {
      this.observer?.connectFailed(endpoint, failure);
    }
  }

  /**
   * Whether this host could not begin a connect a moment ago, for want of a resource of its
   * own, so that requests better use the connections that it has.
   */
  get lacksConnections(): boolean {
    return performance.now() < this.shortUntil;
  }

  /** Numbers of connections that requests use, and that are kept for further ones. */
  get counts(): PoolCounts {
    return {used: sizeOf(this.sockets), kept: sizeOf(this.freeSockets)};
  }

  /** Current connect timeout, milliseconds. */
  get connectTimeoutMilliseconds(): number {
    return Math.min(
      MAXIMUM_CONNECT_TIMEOUT_MILLISECONDS,
      CONNECT_TIMEOUT_MILLISECONDS + this.link.delayMilliseconds,
    );
  }

  /** Whether connects are currently delayed by this host's own link. */
  get isLinkLate(): boolean {
    return this.link.isLate;
  }

  /** Records how long a connect had been pending when it was abandoned. */
  recordAbandonedConnect(milliseconds: number): void {
    this.link.recordConnection(milliseconds);
    this.link.recordTimeout(milliseconds);
  }

  /** Opens a connection that is read in small parts. */
  override createConnection(options: ClientRequestArgs): Duplex | undefined {
    const buffering = {readableHighWaterMark: BUFFERED_BYTES};
    const socket: Socket = connect({
      ...(options as NetConnectOpts),
      ...buffering,
      onread: {
        buffer: () =>
          this.turns.connectionBytes < READ_BYTES
            ? SMALL_READ_BUFFER
            : READ_BUFFER,
        callback: bytes =>
          socket.push(Buffer.from(READ_BUFFER.subarray(0, bytes))),
      },
    });
    this.ends.set(socket, endsInOrder(socket));
    return socket;
  }

  /** @param maximumIdleMilliseconds Limit besides that of the endpoint. */
  override keepSocketAlive(
    socket: Socket,
    maximumIdleMilliseconds = Infinity,
  ): boolean {
    if (!baseKeepSocketAlive(this, socket)) {
      return false;
    }
    const onData = () => {
      socket.destroy();
    };
    const idleLimit =
      this.idleLimits.get(socket) ?? MAXIMUM_SAFE_IDLE_MILLISECONDS;
    const timer = setTimeout(
      onData,
      Math.min(idleLimit, maximumIdleMilliseconds),
    );
    timer.unref();
    const onClose = () => {
      clearTimeout(timer);
    };
    socket.on('data', onData);
    socket.once('close', onClose);
    const idleSince = performance.now();
    this.guards.set(socket, {idleSince, onData, onClose, timer});
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const guard = this.guards.get(socket);
    if (guard !== undefined) {
      clearTimeout(guard.timer);
      socket.off('data', guard.onData);
      socket.off('close', guard.onClose);
      this.guards.delete(socket);
    }
    super.reuseSocket(socket, request);
  }
}

function sizeOf(sockets: NodeJS.ReadOnlyDict<readonly unknown[]>): number {
  return Object.values(sockets).reduce(
    (sum, some) => sum + (some?.length ?? 0),
    0,
  );
}

/**
 * Calls the base class, which takes the endpoint's `Keep-Alive` header into
 * account. Its result is missing from the published types.
 */
function baseKeepSocketAlive(agent: Agent, socket: Socket): boolean {
  const decide: unknown = Reflect.get(Agent.prototype, 'keepSocketAlive');
  return (
    typeof decide === 'function' &&
    Reflect.apply(decide, agent, [socket]) === true
  );
}

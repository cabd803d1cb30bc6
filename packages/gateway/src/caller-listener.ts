import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';

import {CallerConnections, closeUnlessRead} from './caller-connections.js';
import {nextEventLoopTurn} from './event-loop.js';
import {listen, portOf, type ListenAddress} from './listening.js';

/**
 * Handles a request; `arrivedAt` is on the process's monotonic clock,
 * milliseconds.
 */
export type CallerRequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
  arrivedAt: number,
) => void;

interface PendingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrivedAt: number;
}

/**
 * Maximum size of headers that are parsed; the configuration's limit is lower.
 */
const MAXIMUM_HEADER_BYTES = 65_536;

/**
 * Listens for callers before the process can serve them, and queues their
 * requests until it can. After a power loss of all hosts, callers come back
 * while the processes still load their libraries. Listening only after that
 * would reset each of their connections, which costs the one retry that most
 * callers have.
 */
export class CallerListener {
  readonly server: Server;
  readonly connections: CallerConnections;
  private readonly waiting: PendingRequest[] = [];
  private requestListener: CallerRequestListener | undefined;

  /** @param now The process's monotonic clock, milliseconds. */
  constructor(now: () => number) {
    this.server = createServer(
      {maxHeaderSize: MAXIMUM_HEADER_BYTES, noDelay: true},
      (request, response) => {
        if (this.connections.begin(request, response)) {
          this.dispatch({request, response, arrivedAt: now()});
        }
      },
    );
    this.connections = new CallerConnections(this.server);
    // Each request is bounded by its own deadline; a long upload is not an
    // error.
    this.server.requestTimeout = 0;
    this.server.on('timeout', (socket: Socket) => {
      closeUnlessRead(socket);
    });
  }

  /** The bound port; 0 before the server listens. */
  get port(): number {
    return portOf(this.server);
  }

  /**
   * Starts listening, unless the server already listens.
   *
   * @throws The system's error if the address can't be bound.
   */
  async listen(address: ListenAddress): Promise<void> {
    if (!this.server.listening) {
      await listen(this.server, address);
    }
  }

  /**
   * Passes requests to the listener from now on, starting with those that have
   * been waiting.
   */
  serveWith(listener: CallerRequestListener): void {
    this.requestListener = listener;
    for (const {request, response, arrivedAt} of this.waiting.splice(0)) {
      if (!request.socket.destroyed) {
        listener(request, response, arrivedAt);
      }
    }
  }

  /**
   * Refuses the requests that wait and those that still come, as not run, and stops
   * accepting connections.
   *
   * @param retryAfterSeconds When callers should come back; may have a fraction.
   * @returns Resolves when all connections are closed.
   */
  refuse(retryAfterSeconds: number): Promise<void> {
    this.serveWith((request, response) => {
      request.resume();
      response.shouldKeepAlive = !request.complete;
      response
        .writeHead(503, {
          'Retry-After': String(retryAfterSeconds),
          'Content-Length': 0,
        })
        .end();
    });
    return this.drain();
  }

  /**
   * Stops accepting connections, and closes each one as soon as nothing is in
   * progress on it. Connections that came while the process was busy are read
   * first: closing at once would reset them unread.
   *
   * @returns Resolves when all connections are closed.
   */
  async drain(): Promise<void> {
    // New connections are reported once per event loop turn, possibly already
    // in this one, so two turns are awaited.
    await nextEventLoopTurn();
    await nextEventLoopTurn();
    // `close` of an HTTP server also destroys connections whose answers are not
    // sent yet.
    NetServer.prototype.close.call(this.server);
    await this.connections.drain();
  }

  /** Closes all connections immediately. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private dispatch(arrived: PendingRequest): void {
    if (this.requestListener === undefined) {
      this.waiting.push(arrived);
    } else {
      this.requestListener(
        arrived.request,
        arrived.response,
        arrived.arrivedAt,
      );
    }
  }
}

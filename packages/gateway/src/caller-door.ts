import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Server as NetServer} from 'node:net';

import {CallerConnections} from './caller-connections.js';
import {turnOfEventLoop} from './event-loop.js';
import {listening, portOf, type ListenAddress} from './listening.js';

/** Takes a request; `arrivedAt` is on the process's monotonic clock, milliseconds. */
export type RequestTaker = (
  request: IncomingMessage,
  response: ServerResponse,
  arrivedAt: number,
) => void;

interface WaitingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrivedAt: number;
}

/** Longest headers that are parsed at all; the configuration's limit is lower. */
const LONGEST_HEADER_BYTES = 65_536;
/**
 * Listens for callers before there is anybody to serve them. Load: all hosts lose
 * power, and callers come back while the processes load their libraries. Harm of
 * listening last: each of their connections is reset meanwhile, which costs the one
 * retry that most have; here they wait for the rest of the start.
 */
export class CallerDoor {
  readonly server: Server;
  readonly connections: CallerConnections;
  private readonly waiting: WaitingRequest[] = [];
  private taker: RequestTaker | undefined;

  /** @param now The process's monotonic clock, milliseconds. */
  constructor(now: () => number) {
    this.server = createServer(
      {maxHeaderSize: LONGEST_HEADER_BYTES, noDelay: true},
      (request, response) => {
        if (this.connections.begin(request, response)) {
          this.take({request, response, arrivedAt: now()});
        }
      },
    );
    this.connections = new CallerConnections(this.server);
    // A request's own deadline bounds it; a long upload is no error.
    this.server.requestTimeout = 0;
  }

  /** Port that was taken; 0 before it listens. */
  get port(): number {
    return portOf(this.server);
  }

  /**
   * Listens, unless it does already.
   *
   * @throws The system's error where the address can't be taken.
   */
  async listen(at: ListenAddress): Promise<void> {
    if (!this.server.listening) {
      await listening(this.server, at);
    }
  }

  /** From now on requests go there, those first whose callers have waited. */
  openTo(taker: RequestTaker): void {
    this.taker = taker;
    for (const {request, response, arrivedAt} of this.waiting.splice(0)) {
      if (!request.socket.destroyed) {
        taker(request, response, arrivedAt);
      }
    }
  }

  /**
   * Takes no new connections, and ends each as soon as nothing is on it. Load: callers
   * come while the process is busy. Harm of closing at once: those that it has not
   * looked at are reset.
   *
   * @returns Resolves when there is none left.
   */
  async drain(): Promise<void> {
    // The system tells of what has come once in a turn, perhaps already in this one.
    await turnOfEventLoop();
    await turnOfEventLoop();
    // The close of an HTTP server also destroys connections whose answer is not sent.
    NetServer.prototype.close.call(this.server);
    await this.connections.drain();
  }

  /** Ends all connections at once. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private take(arrived: WaitingRequest): void {
    if (this.taker === undefined) {
      this.waiting.push(arrived);
    } else {
      this.taker(arrived.request, arrived.response, arrived.arrivedAt);
    }
  }
}

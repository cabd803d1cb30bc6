import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';

import {Problem, ProblemName} from './problem.js';

const PARSER_PROBLEMS: Readonly<Record<string, ProblemName>> = {
  HPE_HEADER_OVERFLOW: ProblemName.HeadersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: ProblemName.RequestTimeout,
};

/** Answers a connection whose bytes could not be parsed as a request. */
export function refuseConnection(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const problem = new Problem(
    PARSER_PROBLEMS[error.code ?? ''] ?? ProblemName.MalformedRequest,
    {detail: error.message},
  );
  const body = JSON.stringify(problem);
  socket.end(
    [
      `HTTP/1.1 ${problem.status} ${String(problem.toJSON().title)}`,
      'Content-Type: application/problem+json',
      `Content-Length: ${Buffer.byteLength(body)}`,
      `X-Outcome: ${problem.outcome}`,
      'Connection: close',
      '',
      body,
    ].join('\r\n'),
  );
}

/**
 * Tracks connections that have not yet delivered their first request.
 *
 * Node.js checks for slow headers only every 30 seconds, so each connection has
 * its own timer and slow headers are refused in time. Node.js does not count
 * these connections as idle either: a load balancer's unused connection would
 * delay a graceful shutdown until that timer, so the shutdown destroys them. No
 * request was read from them, so none is lost.
 */
export class NewConnections {
  private readonly timers = new Map<Socket, NodeJS.Timeout>();

  constructor(http: Server, timeoutMilliseconds: number) {
    http.on('connection', (socket: Socket) => {
      const timer = setTimeout(() => {
        refuseConnection(
          Object.assign(
            new Error('the request headers were not received in time'),
            {
              code: 'ERR_HTTP_REQUEST_TIMEOUT',
            },
          ),
          socket,
        );
      }, timeoutMilliseconds);
      this.timers.set(socket, timer);
      socket.once('close', () => {
        this.remove(socket);
      });
    });
    http.on('request', (request: IncomingMessage) => {
      this.remove(request.socket);
    });
  }

  /** Destroys all tracked connections. */
  destroyAll(): void {
    for (const socket of this.timers.keys()) {
      socket.destroy();
    }
  }

  private remove(socket: Socket): void {
    clearTimeout(this.timers.get(socket));
    this.timers.delete(socket);
  }
}

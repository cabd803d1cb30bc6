import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';

import {Problem, ProblemName} from './problem.js';

const PARSER_PROBLEMS: Readonly<Record<string, ProblemName>> = {
  HPE_HEADER_OVERFLOW: ProblemName.HeadersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: ProblemName.RequestTimeout,
};

/** Answers what never became a request. */
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
 * Connections whose first request has not come yet.
 *
 * Node.js looks for slow headers every thirty seconds only, so each gets its own
 * timer and a trickle is refused in time. Node.js does not count them as idle
 * either: a balancer's spare connection would hold up a graceful stop until that
 * timer, so the stop ends them itself. Nothing was read from them.
 */
export class SilentConnections {
  private readonly timers = new Map<Socket, NodeJS.Timeout>();

  constructor(http: Server, timeoutMilliseconds: number) {
    http.on('connection', (socket: Socket) => {
      const timer = setTimeout(() => {
        refuseConnection(
          Object.assign(new Error('the headers took too long'), {
            code: 'ERR_HTTP_REQUEST_TIMEOUT',
          }),
          socket,
        );
      }, timeoutMilliseconds);
      this.timers.set(socket, timer);
      socket.once('close', () => {
        this.forget(socket);
      });
    });
    http.on('request', (request: IncomingMessage) => {
      this.forget(request.socket);
    });
  }

  /** Ends all of them. */
  destroyAll(): void {
    for (const socket of this.timers.keys()) {
      socket.destroy();
    }
  }

  private forget(socket: Socket): void {
    clearTimeout(this.timers.get(socket));
    this.timers.delete(socket);
  }
}

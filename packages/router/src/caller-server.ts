import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {createServer, type Request, type Server} from 'restify';

import {writeProblem} from './answer-writer.js';
import {Problem, ProblemName} from './problem.js';

/** What a route does with a request. */
export type CallerHandler = (
  request: Request,
  response: ServerResponse,
) => Promise<void>;

/** A route of the callers' interface. */
export interface CallerRoute {
  readonly method: 'get' | 'post';
  readonly path: string;
  readonly handler: CallerHandler;
}

/**
 * Headers that are not whole by then end the connection. Callers' headers are a
 * few hundred bytes; a connection that trickles them holds a slot for nothing.
 */
const HEADERS_TIMEOUT_MILLISECONDS = 5_000;
const MAXIMUM_HEADERS = 100;

/** Longer than the balancers' usual idle time, so that they close first. */
const KEEP_ALIVE_MILLISECONDS = 65_000;

const PARSER_PROBLEMS: Readonly<Record<string, ProblemName>> = {
  HPE_HEADER_OVERFLOW: ProblemName.HeadersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: ProblemName.RequestTimeout,
};

/** Answers what never became a request. */
function refuseConnection(error: NodeJS.ErrnoException, socket: Socket): void {
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

function asProblem(error: unknown): Problem {
  return error instanceof Problem
    ? error
    : new Problem(ProblemName.OutcomeUnknown, {
        detail: 'an error inside the router',
      });
}

/** The HTTP server that callers talk to. */
export class CallerServer {
  private constructor(
    private readonly server: Server,
    /** `IP:port`. */
    readonly address: string,
  ) {}

  /**
   * Listens and serves.
   *
   * @param port 0 takes a free port.
   * @throws The system's error where the address can't be taken.
   */
  static async listen(
    address: string,
    port: number,
    routes: readonly CallerRoute[],
  ): Promise<CallerServer> {
    const server = createServer({name: 'wisteriadeal'});
    const http = server.server as import('node:http').Server;
    http.headersTimeout = HEADERS_TIMEOUT_MILLISECONDS;
    http.requestTimeout = 0;
    http.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
    http.maxHeadersCount = MAXIMUM_HEADERS;
    http.on('clientError', refuseConnection);
    limitFirstHeaders(http);
    for (const route of routes) {
      server[route.method](route.path, handle(route.handler));
    }
    server.on('NotFound', answerUnrouted);
    server.on('MethodNotAllowed', answerUnrouted);
    await new Promise<void>((resolve, reject) => {
      http.once('error', reject);
      server.listen(port, address, () => {
        http.off('error', reject);
        resolve();
      });
    });
    const bound = (http.address() as AddressInfo).port;
    return new CallerServer(server, `${address}:${bound}`);
  }

  /** Stops listening; responses in progress end undisturbed. */
  async close(): Promise<void> {
    const http = this.server.server as import('node:http').Server;
    const closed = new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
    http.closeIdleConnections();
    await closed;
  }

  /** Breaks off what is left. */
  destroy(): void {
    (this.server.server as import('node:http').Server).closeAllConnections();
  }
}

function handle(handler: CallerHandler) {
  return async (
    request: Request,
    response: ServerResponse & {send?: unknown},
  ): Promise<void> => {
    try {
      await handler(request, response);
    } catch (error) {
      writeProblem(response, asProblem(error));
    }
  };
}

function answerUnrouted(
  _request: IncomingMessage,
  response: ServerResponse,
  _error: unknown,
  done: () => void,
): void {
  writeProblem(
    response,
    new Problem(ProblemName.UnknownService, {
      detail: 'there is nothing at this method and path',
    }),
  );
  done();
}

/**
 * Node.js looks for slow headers every thirty seconds only. Each connection's
 * first request gets its own timer, so that a trickle is refused in time.
 */
function limitFirstHeaders(http: import('node:http').Server): void {
  const timers = new WeakMap<object, NodeJS.Timeout>();
  http.on('connection', (socket: Socket) => {
    const timer = setTimeout(() => {
      refuseConnection(
        Object.assign(new Error('the headers took too long'), {
          code: 'ERR_HTTP_REQUEST_TIMEOUT',
        }),
        socket,
      );
    }, HEADERS_TIMEOUT_MILLISECONDS);
    timers.set(socket, timer);
    socket.once('close', () => {
      clearTimeout(timer);
    });
  });
  http.on('request', (request: IncomingMessage) => {
    clearTimeout(timers.get(request.socket));
  });
}

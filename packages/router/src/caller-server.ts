import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createServer, type Request, type Server} from 'restify';

import {writeProblem} from './answer-writer.js';
import {refuseConnection, SilentConnections} from './caller-connections.js';
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
    private readonly silent: SilentConnections,
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
    const silent = new SilentConnections(http, HEADERS_TIMEOUT_MILLISECONDS);
    for (const route of routes) {
      server[route.method](route.path, handle(route.handler));
    }
    server.on('restifyError', answerUnrouted);
    await new Promise<void>((resolve, reject) => {
      http.once('error', reject);
      server.listen(port, address, () => {
        http.off('error', reject);
        resolve();
      });
    });
    const bound = (http.address() as AddressInfo).port;
    return new CallerServer(server, silent, `${address}:${bound}`);
  }

  /** Stops listening; responses in progress end undisturbed. */
  async close(): Promise<void> {
    const http = this.server.server as import('node:http').Server;
    const closed = new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
    this.silent.destroyAll();
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

/**
 * Answers what no route matches. The callback that restify hands in is not
 * called: it would write a second answer of its own onto the first, and the
 * exception from that ended the whole process, with every stream in it.
 */
function answerUnrouted(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  writeProblem(
    response,
    new Problem(ProblemName.UnknownService, {
      detail: 'there is nothing at this method and path',
    }),
  );
}

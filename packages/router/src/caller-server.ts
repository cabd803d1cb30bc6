import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createServer, type Request, type Server} from 'restify';

import {writeProblem} from './answer-writer.js';
import {refuseConnection, NewConnections} from './caller-connections.js';
import {Problem, ProblemName} from './problem.js';

/** Handles a request of a route. */
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
 * Time within which a request's headers must be complete. Callers' headers are a
 * few hundred bytes; a connection that sends them slowly occupies a slot without
 * any use.
 */
const HEADERS_TIMEOUT_MILLISECONDS = 5_000;
const MAXIMUM_HEADERS = 100;

/** Longer than the usual idle timeout of load balancers, so they close first. */
const KEEP_ALIVE_MILLISECONDS = 65_000;

function toProblem(error: unknown): Problem {
  return error instanceof Problem
    ? error
    : new Problem(ProblemName.OutcomeUnknown, {
        detail: 'internal error in the router',
      });
}

/** The HTTP server of the callers' interface. */
export class CallerServer {
  private constructor(
    private readonly server: Server,
    private readonly newConnections: NewConnections,
    /** `IP:port`. */
    readonly address: string,
  ) {}

  /**
   * Starts the server.
   *
   * @param port 0 selects a free port.
   * @throws The system's error if the server can't listen on the address.
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
    const newConnections = new NewConnections(
      http,
      HEADERS_TIMEOUT_MILLISECONDS,
    );
    for (const route of routes) {
      server[route.method](route.path, createRestifyHandler(route.handler));
    }
    server.on('restifyError', answerUnrouted);
    await new Promise<void>((resolve, reject) => {
      http.once('error', reject);
      server.listen(port, address, () => {
        http.off('error', reject);
        resolve();
      });
    });
    const boundPort = (http.address() as AddressInfo).port;
    return new CallerServer(server, newConnections, `${address}:${boundPort}`);
  }

  /** Stops listening and waits until the responses in progress have ended. */
  async close(): Promise<void> {
    const http = this.server.server as import('node:http').Server;
    const closed = new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
    this.newConnections.destroyAll();
    http.closeIdleConnections();
    await closed;
  }

  /** Closes all connections, including those with responses in progress. */
  destroy(): void {
    (this.server.server as import('node:http').Server).closeAllConnections();
  }
}

function createRestifyHandler(handler: CallerHandler) {
  return async (
    request: Request,
    response: ServerResponse & {send?: unknown},
  ): Promise<void> => {
    try {
      await handler(request, response);
    } catch (error) {
      writeProblem(response, toProblem(error));
    }
  };
}

/**
 * Answers requests that match no route. The callback that restify passes is
 * deliberately not called: it would write a second response, and the resulting
 * exception terminated the process and with it every open stream.
 */
function answerUnrouted(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  writeProblem(
    response,
    new Problem(ProblemName.UnknownService, {
      detail: 'no route matches this method and path',
    }),
  );
}

import type {EventLog, JsonValue} from '@wisteriadeal/runtime';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import type {GatewayMetrics} from './gateway-metrics.js';
import {listening, portOf, type ListenAddress} from './listening.js';

/** What a process tells on its status addresses. */
export abstract class GatewayStatus {
  /** Whether this host takes callers. */
  abstract isReady(): boolean;
  /** The platform's balancer was answered whether this host takes callers. */
  abstract probed(isReady: boolean): void;
  /** The state, for people. */
  abstract dump(): JsonValue;
  /** Brings gauges up to date before they are read. */
  abstract refresh(): void;
}

/**
 * Serves readiness on one address, metrics and the dump on another. The latter's
 * library is loaded when somebody first asks there: loading it keeps the process busy
 * for longer than the rest of its start, while the callers of a host that was down
 * come back.
 */
export class StatusServer {
  private readonly readiness: Server;
  private readonly inside: Server;
  private routes: Promise<RequestListener> | undefined;

  /** @param readyPath Where the platform asks for readiness. */
  constructor(
    private readonly readyPath: string,
    private readonly status: GatewayStatus,
    private readonly metrics: GatewayMetrics,
    private readonly events: EventLog,
  ) {
    this.readiness = createServer((request, response) => {
      this.answerReadiness(request, response);
    });
    this.inside = createServer((request, response) => {
      void this.answerInside(request, response);
    });
  }

  /** @throws The system's error where an address can't be taken. */
  async listen(ready: ListenAddress, inner: ListenAddress): Promise<void> {
    await listening(this.readiness, ready);
    await listening(this.inside, inner);
  }

  /** Port of the readiness address; the settings may leave it to the system. */
  get readyPort(): number {
    return portOf(this.readiness);
  }

  /** Port of metrics and the dump. */
  get statusPort(): number {
    return portOf(this.inside);
  }

  /** Stops listening, and ends idle connections. */
  close(): void {
    this.readiness.close();
    this.inside.close();
  }

  private answerReadiness(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const isKnown = request.url === this.readyPath;
    const isReady = isKnown && this.status.isReady();
    if (isKnown) {
      this.status.probed(isReady);
    }
    response.statusCode = isKnown ? (isReady ? 200 : 503) : 404;
    response.end();
  }

  private async answerInside(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      this.routes ??= this.loadRoutes();
      (await this.routes)(request, response);
    } catch (error) {
      this.events.error('status not served', {
        path: request.url,
        reason: String(error),
      });
      response.statusCode = 500;
      response.end();
    }
  }

  private async loadRoutes(): Promise<RequestListener> {
    const {default: restify} = await import('restify');
    const routes = restify.createServer({name: 'wisteriadeal'});
    routes.get('/metrics', async (_request, response) => {
      this.status.refresh();
      const {type, body} = await this.metrics.text();
      response.sendRaw(200, body, {'Content-Type': type});
    });
    routes.get('/state', (_request, response, next) => {
      response.send(200, this.status.dump());
      next();
    });
    return (request, response) => {
      routes.server.emit('request', request, response);
    };
  }
}

type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

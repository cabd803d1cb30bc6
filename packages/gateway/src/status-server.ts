import type {EventLog, JsonValue} from '@wisteriadeal/runtime';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import type {GatewayMetrics} from './gateway-metrics.js';
import {listen, portOf, type ListenAddress} from './listening.js';

/** The status that a process serves on its status addresses. */
export abstract class GatewayStatus {
  /** Whether this host accepts callers. */
  abstract isReady(): boolean;
  /**
   * Records the answer given to a readiness probe of the platform's load
   * balancer.
   */
  abstract readinessAnswered(isReady: boolean): void;
  /** The state, for operators. */
  abstract dump(): JsonValue;
  /** Updates the gauges before they are read. */
  abstract refreshGauges(): void;
}

const METRICS_PATH = '/metrics';
const STATE_PATH = '/state';

/**
 * Serves readiness on one address, and metrics and the state dump on another.
 * The library for the latter is loaded on the first request there: loading it
 * keeps the process busy for longer than the rest of its start, while the
 * callers of a host that was down reconnect.
 */
export class StatusServer {
  private readonly readinessServer: Server;
  private readonly statusServer: Server;
  private routes: Promise<RequestListener> | undefined;

  /** @param readyPath Path of the platform's readiness probe. */
  constructor(
    private readonly readyPath: string,
    private readonly status: GatewayStatus,
    private readonly metrics: GatewayMetrics,
    private readonly events: EventLog,
  ) {
    this.readinessServer = createServer((request, response) => {
      this.answerReadiness(request, response);
    });
    this.statusServer = createServer((request, response) => {
      void this.answerStatus(request, response);
    });
  }

  /** @throws The system's error if an address can't be bound. */
  async listen(
    readyAddress: ListenAddress,
    statusAddress: ListenAddress,
  ): Promise<void> {
    await listen(this.readinessServer, readyAddress);
    await listen(this.statusServer, statusAddress);
  }

  /**
   * Port of the readiness address; the settings may leave the choice to the
   * system.
   */
  get readyPort(): number {
    return portOf(this.readinessServer);
  }

  /** Port of metrics and the state dump. */
  get statusPort(): number {
    return portOf(this.statusServer);
  }

  /** Stops listening, and closes idle connections. */
  close(): void {
    this.readinessServer.close();
    this.statusServer.close();
  }

  private answerReadiness(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const isKnown = request.url === this.readyPath;
    const isReady = isKnown && this.status.isReady();
    if (isKnown) {
      this.status.readinessAnswered(isReady);
    }
    response.statusCode = isKnown ? (isReady ? 200 : 503) : 404;
    response.end();
  }

  private async answerStatus(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url?.split('?', 1)[0];
    if (path !== METRICS_PATH && path !== STATE_PATH) {
      // The library throws at a target that is not a valid URL, in a later turn.
      response.statusCode = 404;
      response.end();
      return;
    }
    try {
      this.routes ??= this.loadRoutes();
      (await this.routes)(request, response);
    } catch (error) {
      this.events.error('status request failed', {
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
    routes.get(METRICS_PATH, async (_request, response) => {
      this.status.refreshGauges();
      const {type, body} = await this.metrics.text();
      response.sendRaw(200, body, {'Content-Type': type});
    });
    routes.get(STATE_PATH, (_request, response, next) => {
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

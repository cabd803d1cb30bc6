import type {JsonValue} from '@wisteriadeal/runtime';
import restify, {type Server} from 'restify';

import type {ListenAddress} from './caller-server.js';
import type {GatewayMetrics} from './gateway-metrics.js';

/** What a process tells on its status addresses. */
export abstract class GatewayStatus {
  /** Whether this host takes callers. */
  abstract isReady(): boolean;
  /** The state, for people. */
  abstract dump(): JsonValue;
  /** Brings gauges up to date before they are read. */
  abstract refresh(): void;
}

/** Serves readiness on one address, metrics and the dump on another. */
export class StatusServer {
  private readonly ready: Server;
  private readonly inner: Server;

  /** @param readyPath Where the platform asks for readiness. */
  constructor(
    readyPath: string,
    private readonly status: GatewayStatus,
    private readonly metrics: GatewayMetrics,
  ) {
    this.ready = restify.createServer({name: 'wisteriadeal'});
    this.ready.get(readyPath, (_request, response, next) => {
      response.send(this.status.isReady() ? 200 : 503);
      next();
    });
    this.inner = restify.createServer({name: 'wisteriadeal'});
    this.inner.get('/metrics', async (_request, response) => {
      this.status.refresh();
      const {type, body} = await this.metrics.text();
      response.sendRaw(200, body, {'Content-Type': type});
    });
    this.inner.get('/state', (_request, response, next) => {
      response.send(200, this.status.dump());
      next();
    });
  }

  /** @throws The system's error where an address can't be taken. */
  async listen(ready: ListenAddress, inner: ListenAddress): Promise<void> {
    await listening(this.ready, ready);
    await listening(this.inner, inner);
  }

  /** Stops listening. */
  close(): void {
    this.ready.close();
    this.inner.close();
  }
}

function listening(server: Server, at: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(at.port, at.address, () => {
      resolve();
    });
  });
}

import type {JsonValue} from '@wisteriadeal/runtime';
import type {Server} from 'restify';

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

const SERVER_OPTIONS = {name: 'wisteriadeal'};

/** Serves readiness on one address, metrics and the dump on another. */
export class StatusServer {
  private readonly servers: Server[] = [];
  private isClosed = false;

  /** @param readyPath Where the platform asks for readiness. */
  constructor(
    private readonly readyPath: string,
    private readonly status: GatewayStatus,
    private readonly metrics: GatewayMetrics,
  ) {}

  /**
   * Loads its library first, which takes longer than the rest of a start: callers
   * are served before it is there.
   *
   * @throws The system's error where an address can't be taken.
   */
  async listen(ready: ListenAddress, inner: ListenAddress): Promise<void> {
    const {default: restify} = await import('restify');
    if (this.isClosed) {
      return;
    }
    const readiness = restify.createServer(SERVER_OPTIONS);
    readiness.get(this.readyPath, (_request, response, next) => {
      response.send(this.status.isReady() ? 200 : 503);
      next();
    });
    const inside = restify.createServer(SERVER_OPTIONS);
    inside.get('/metrics', async (_request, response) => {
      this.status.refresh();
      const {type, body} = await this.metrics.text();
      response.sendRaw(200, body, {'Content-Type': type});
    });
    inside.get('/state', (_request, response, next) => {
      response.send(200, this.status.dump());
      next();
    });
    this.servers.push(readiness, inside);
    await listening(readiness, ready);
    await listening(inside, inner);
  }

  /** Stops listening. */
  close(): void {
    this.isClosed = true;
    for (const server of this.servers) {
      server.close();
    }
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

import type {DescMessage, MessageShape} from '@bufbuild/protobuf';
import {
  formatSettingsProblem,
  parseSettings,
  type EventLog,
} from '@wisteriadeal/runtime';
import type {StandInProcessSettings} from '@wisteriadeal/schema';
import type {AddressInfo} from 'node:net';
import restify, {type Request, type Response, type Server} from 'restify';

/** HTTP status codes that the stand-ins send. */
export enum Status {
  Success = 200,
  Created = 201,
  NoContent = 204,
  BadRequest = 400,
  NotFound = 404,
  Conflict = 409,
  TooManyRequests = 429,
  ServerError = 500,
  Unavailable = 503,
}

/** Reads the complete body of a request. */
export async function readBody(request: Request): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Parses the query parameters of a request. */
export function readQuery(request: Request): URLSearchParams {
  return new URL(request.url ?? '/', 'http://stand-in').searchParams;
}

/** Returns a path parameter of a request. */
export function pathParameter(request: Request, name: string): string {
  return String((request.params as Record<string, unknown>)[name]);
}

/** Sends a JSON response. */
export function sendJson(
  response: Response,
  status: Status,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(status, {'content-type': 'application/json', ...headers});
  response.end(JSON.stringify(value));
}

/**
 * Handles a control request whose body is a message of the schema. Responds with 400
 * and all problems if it doesn't match the schema.
 *
 * @param apply Called with a message that matches the schema.
 */
export async function handleMessage<Schema extends DescMessage>(
  schema: Schema,
  request: Request,
  response: Response,
  apply: (message: MessageShape<Schema>) => void,
): Promise<void> {
  const text = (await readBody(request)).toString();
  const parsed = parseSettings(schema, text, 'body');
  if (parsed.err) {
    const problems = parsed.val.map(formatSettingsProblem);
    sendJson(response, Status.BadRequest, {problems});
    return;
  }
  apply(parsed.val);
  sendJson(response, Status.Success, {});
}

/** The HTTP server of a stand-in. */
export class StandInServer {
  private constructor(private readonly server: Server) {}

  /**
   * Starts a server and logs the event `listening` with its address.
   *
   * @param routes Registers the routes.
   * @throws The system error if the address can't be bound.
   * @example
   * ```ts
   * const server = await StandInServer.listen(settings, log, routes => {
   *   routes.get('/hosts', handler);
   * });
   * ```
   */
  static async listen(
    settings: StandInProcessSettings,
    log: EventLog,
    routes: (server: Server) => void,
  ): Promise<StandInServer> {
    const server = restify.createServer({name: settings.name});
    routes(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(settings.port, settings.address, () => {
        resolve();
      });
    });
    const {port} = server.server.address() as AddressInfo;
    log.info('listening', {address: `${settings.address}:${port}`});
    return new StandInServer(server);
  }

  /** Stops listening and closes every connection. */
  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
      this.server.server.closeAllConnections();
    });
  }
}

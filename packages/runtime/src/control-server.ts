import type {ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
  createServer,
  type Http2Server,
  type ServerHttp2Session,
} from 'node:http2';
import type {AddressInfo} from 'node:net';

/**
 * The Connect server that offers a process's control services to other processes
 * over HTTP/2.
 */
export class ControlServer {
  private readonly sessions = new Set<ServerHttp2Session>();

  private constructor(
    private readonly server: Http2Server,
    /** `IP:port` at which peers reach the server. */
    readonly address: string,
  ) {}

  /**
   * Starts a server.
   *
   * @param address IP address to listen on.
   * @param port Port to listen on; 0 selects a free port.
   * @param routes Registers the services.
   * @throws The system error if the address can't be bound.
   * @example
   * ```ts
   * const server = await ControlServer.listen('127.0.0.1', 0, router => {
   *   router.service(KeeperService, implementation);
   * });
   * ```
   */
  static async listen(
    address: string,
    port: number,
    routes: (router: ConnectRouter) => void,
  ): Promise<ControlServer> {
    const server = createServer(connectNodeAdapter({routes}));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, address, () => {
        server.off('error', reject);
        resolve();
      });
    });
    const bound = (server.address() as AddressInfo).port;
    const controlServer = new ControlServer(server, `${address}:${bound}`);
    server.on('session', session => {
      controlServer.sessions.add(session);
      session.once('close', () => controlServer.sessions.delete(session));
    });
    return controlServer;
  }

  /** Stops listening and destroys every session; streams in progress fail. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
    for (const session of this.sessions) {
      session.destroy();
    }
    await closed;
  }
}

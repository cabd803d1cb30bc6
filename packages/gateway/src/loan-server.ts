import {connectNodeAdapter} from '@connectrpc/connect-node';
import {GrantLoanService} from '@wisteriadeal/schema';
import {createServer, type Server} from 'node:http';

import {listen, portOf, type ListenAddress} from './listening.js';
import type {LoanHolder} from './loan-peers.js';

/**
 * How long idle connections are kept. A call sent while the connection is being closed
 * loses its answer, and the borrower does not ask that lender for two seconds.
 */
const KEEP_ALIVE_MILLISECONDS = 60_000;

/**
 * Server for other holders, which request loans and hand over their tokens when they
 * stop. It uses HTTP/1.1 for the reason given at `ConnectLoanPeers`.
 */
export class LoanServer {
  private constructor(
    private readonly server: Server,
    /** `IP:port` for peers. */
    readonly address: string,
  ) {}

  /** @throws The system's error if the address cannot be bound. */
  static async listen(
    at: ListenAddress,
    holder: LoanHolder,
  ): Promise<LoanServer> {
    const routes = connectNodeAdapter({
      routes: router => {
        router.service(GrantLoanService, {
          borrow: async request => ({lent: await holder.lend(request)}),
          give: request => ({taken: holder.takeOver(request)}),
        });
      },
    });
    const server = createServer((request, response) => {
      routes(request, response);
    });
    server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
    await listen(server, at);
    return new LoanServer(server, `${at.address}:${portOf(server)}`);
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeAllConnections();
    await closed;
  }
}

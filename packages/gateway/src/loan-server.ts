import {connectNodeAdapter} from '@connectrpc/connect-node';
import {GrantLoanService} from '@wisteriadeal/schema';
import {createServer, type Server} from 'node:http';

import {listening, portOf, type ListenAddress} from './listening.js';
import type {LoanHolder} from './loan-peers.js';

/**
 * Idle connections are kept so long: a call that crosses the close of one loses its
 * answer, and the lender is passed over for two seconds.
 */
const KEEP_ALIVE_MILLISECONDS = 60_000;

/**
 * Where other holders ask for loans and leave what they have at their end. It speaks
 * HTTP/1.1, as `ConnectLoanPeers` says why.
 */
export class LoanServer {
  private constructor(
    private readonly server: Server,
    /** `IP:port` that peers reach it by. */
    readonly address: string,
  ) {}

  /** @throws The system's error where the address can't be taken. */
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
    await listening(server, at);
    return new LoanServer(server, `${at.address}:${portOf(server)}`);
  }

  /** Stops listening and ends every connection. */
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

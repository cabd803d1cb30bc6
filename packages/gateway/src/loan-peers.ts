import {
  createClient,
  type Client,
  type ConnectRouter,
} from '@connectrpc/connect';
import {
  createConnectTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {Fate, StepError} from '@wisteriadeal/platform';
import {GrantLoanService} from '@wisteriadeal/schema';

/** What a borrower asks for. */
export interface LoanRequest {
  readonly organisation: string;
  /** Less than this is of no use. */
  readonly least: number;
  readonly wish: number;
  /** Incarnation of the borrower, for logs. */
  readonly borrower: string;
}

/** Other holders, as lenders. */
export abstract class LoanPeers {
  /**
   * Asks one holder.
   *
   * @returns Tokens lent; the borrower owns them from now on.
   * @throws StepError where no answer came in time; what was lent then is lost.
   */
  abstract borrow(address: string, request: LoanRequest): Promise<number>;

  /** Ends open connections. */
  abstract close(): void;
}

/** A lender in another data centre answers within some 10 ms; a frozen one never. */
const ANSWER_MILLISECONDS = 120;

interface Peer {
  readonly client: Client<typeof GrantLoanService>;
  readonly sessions: Http2SessionManager;
}

/** Lenders over Connect. */
export class ConnectLoanPeers extends LoanPeers {
  private readonly peers = new Map<string, Peer>();

  override async borrow(
    address: string,
    request: LoanRequest,
  ): Promise<number> {
    try {
      const {client} = this.peer(address);
      const answer = await client.borrow(request, {
        timeoutMs: ANSWER_MILLISECONDS,
      });
      return answer.lent;
    } catch (error) {
      this.drop(address);
      throw new StepError(
        'borrow grant',
        address,
        Fate.Unknown,
        String(error),
        {
          cause: error,
        },
      );
    }
  }

  override close(): void {
    for (const address of [...this.peers.keys()]) {
      this.drop(address);
    }
  }

  private peer(address: string): Peer {
    let peer = this.peers.get(address);
    if (peer === undefined) {
      const baseUrl = `http://${address}`;
      const sessions = new Http2SessionManager(baseUrl);
      const transport = createConnectTransport({
        baseUrl,
        httpVersion: '2',
        sessionManager: sessions,
      });
      peer = {client: createClient(GrantLoanService, transport), sessions};
      this.peers.set(address, peer);
    }
    return peer;
  }

  /** A session that gave no answer may be silent for good. */
  private drop(address: string): void {
    this.peers.get(address)?.sessions.abort();
    this.peers.delete(address);
  }
}

/** Registers the lender's side. */
export function registerLender(
  router: ConnectRouter,
  lend: (request: LoanRequest) => Promise<number>,
): void {
  router.service(GrantLoanService, {
    borrow: async request => ({lent: await lend(request)}),
  });
}

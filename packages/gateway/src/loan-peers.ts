import {
  Code,
  ConnectError,
  createClient,
  type Client,
} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {
  Fate,
  FreeLink,
  NetworkTimeout,
  StepError,
  type HostLink,
} from '@wisteriadeal/platform';
import {GrantLoanService} from '@wisteriadeal/schema';
import {Agent} from 'node:http';

/** What a borrower asks for. */
export interface LoanRequest {
  readonly organisation: string;
  /** Less than this is of no use. */
  readonly least: number;
  readonly wish: number;
  /** Incarnation of the borrower. */
  readonly borrower: string;
  /** Names the loan, so that the borrower takes it once. */
  readonly loan: string;
}

/** Other holders, as lenders. */
export abstract class LoanPeers {
  /**
   * Asks one holder.
   *
   * @returns Tokens lent; the borrower owns them from now on.
   * @throws StepError where no answer came in time; what was lent then stands in
   *     the lender's record.
   */
  abstract borrow(address: string, request: LoanRequest): Promise<number>;

  /**
   * Gives one holder what this process has left.
   *
   * @returns False where it takes nothing.
   * @throws StepError where no answer came in time; the tokens are lost then, since
   *     they may have been taken.
   */
  abstract give(address: string, gift: Gift): Promise<boolean>;

  /** Ends open connections. */
  abstract close(): void;
}

/** What a stopping process gives, and by which incarnation. */
export interface Gift {
  readonly giver: string;
  readonly given: readonly GivenAmount[];
}

/** Tokens of one organisation's budget. */
export interface GivenAmount {
  readonly organisation: string;
  readonly amount: number;
}

/** The side of a holder that others call. */
export interface LoanHolder {
  /** Lends what it can spare; 0 for nothing. */
  lend(request: LoanRequest): Promise<number>;
  /** Takes what a stopping process has left; false where it stops itself. */
  takeOver(gift: Gift): boolean;
}

/** A lender in another data centre answers within some 10 ms; a frozen one never. */
const ANSWER_MILLISECONDS = 120;
/** A silent lender holds up all loans of an organisation for no longer. */
const LONGEST_ANSWER_MILLISECONDS = 1_000;

interface Peer {
  readonly client: Client<typeof GrantLoanService>;
  readonly connections: Agent;
}

/**
 * Holders over Connect, by HTTP/1.1. Over HTTP/2 the library's session raises an
 * error that nobody catches where the peer says that it ends (GOAWAY) while the
 * session is given up: the process ends with all its requests.
 */
export class ConnectLoanPeers extends LoanPeers {
  private readonly peers = new Map<string, Peer>();

  /** @param link Of this host: answers take longer while it is full. */
  constructor(private readonly link: HostLink = new FreeLink()) {
    super();
  }

  override async borrow(
    address: string,
    request: LoanRequest,
  ): Promise<number> {
    const {lent} = await this.call('borrow grant', address, (client, signal) =>
      client.borrow(request, {signal}),
    );
    return lent;
  }

  override async give(address: string, {giver, given}: Gift): Promise<boolean> {
    const message = {giver, given: [...given]};
    const {taken} = await this.call('give grant', address, (client, signal) =>
      client.give(message, {signal}),
    );
    return taken;
  }

  override close(): void {
    for (const address of [...this.peers.keys()]) {
      this.drop(address);
    }
  }

  private async call<Answer>(
    step: string,
    address: string,
    exchange: (client: Peer['client'], signal: AbortSignal) => Promise<Answer>,
  ): Promise<Answer> {
    const controller = new AbortController();
    const limit = Math.min(
      LONGEST_ANSWER_MILLISECONDS,
      ANSWER_MILLISECONDS + this.linkDelay(address),
    );
    const timeout = new NetworkTimeout(limit, () => {
      controller.abort(
        new ConnectError('the operation timed out', Code.DeadlineExceeded),
      );
    });
    try {
      return await exchange(this.peer(address).client, controller.signal);
    } catch (error) {
      this.drop(address);
      const reason = String(error);
      throw new StepError(step, address, Fate.Unknown, reason, {cause: error});
    } finally {
      timeout.close();
    }
  }

  /** A new connection is delayed at the link before the answer is. */
  private linkDelay(address: string): number {
    const kept = this.peers.get(address)?.connections.freeSockets ?? {};
    const isNew = Object.keys(kept).length === 0;
    return (isNew ? 2 : 1) * this.link.delayMilliseconds;
  }

  private peer(address: string): Peer {
    let peer = this.peers.get(address);
    if (peer === undefined) {
      const connections = new Agent({keepAlive: true, noDelay: true});
      const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: '1.1',
        nodeOptions: {agent: connections},
      });
      peer = {client: createClient(GrantLoanService, transport), connections};
      this.peers.set(address, peer);
    }
    return peer;
  }

  /** A connection that gave no answer may be silent for good. */
  private drop(address: string): void {
    this.peers.get(address)?.connections.destroy();
    this.peers.delete(address);
  }
}

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
  /** The lender asks the store for nothing: it has been asked for the same tokens. */
  readonly inHandOnly: boolean;
}

/**
 * Takes an answer that this host's own link holds up beyond its limit. It is rejected
 * once it is given up.
 */
export type LateAnswerHandler = (answer: Promise<number>) => void;

/** Other holders, as lenders. */
export abstract class LoanPeers {
  /**
   * Asks one holder.
   *
   * @param late Called before this ends where the answer is late at this host's own
   *     link; without it such an answer is given up.
   * @returns Tokens lent; the borrower owns them from now on. Undefined where the
   *     answer is late and still awaited.
   * @throws StepError where no answer came in time; what was lent then stands in
   *     the lender's record.
   * @example
   * ```ts
   * const lent = await peers.borrow('10.0.0.1:7200', request);
   * ```
   */
  abstract borrow(
    address: string,
    request: LoanRequest,
    late?: LateAnswerHandler,
  ): Promise<number | undefined>;

  /**
   * Gives one holder what this process has left.
   *
   * @returns False where it takes nothing.
   * @throws StepError where no answer came in time; the tokens are lost then, since
   *     they may have been taken.
   */
  abstract handOver(address: string, gift: GrantHandover): Promise<boolean>;

  /** Ends open connections. */
  abstract close(): void;
}

/** What a stopping process gives, and by which incarnation. */
export interface GrantHandover {
  readonly giver: string;
  readonly given: readonly GrantAmount[];
}

/** Tokens of one organisation's budget. */
export interface GrantAmount {
  readonly organisation: string;
  readonly amount: number;
}

/** The side of a holder that others call. */
export interface LoanHolder {
  /** Lends what it can spare; 0 for nothing. */
  lend(request: LoanRequest): Promise<number>;
  /** Takes what a stopping process has left; false where it stops itself. */
  takeOver(gift: GrantHandover): boolean;
}

/** A lender in another data centre answers within some 10 ms; a frozen one never. */
const ANSWER_TIMEOUT_MILLISECONDS = 120;
/** A silent lender holds up all loans of an organisation for no longer. */
const MAXIMUM_ANSWER_TIMEOUT_MILLISECONDS = 1_000;
/** An answer that this host's own link holds up is awaited so long after its limit. */
const LATE_ANSWER_TIMEOUT_MILLISECONDS = 5_000;

type Exchange<Answer> = (
  client: Client<typeof GrantLoanService>,
  signal: AbortSignal,
) => Promise<Answer>;

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
    late?: LateAnswerHandler,
  ): Promise<number | undefined> {
    return this.call(
      'borrow grant',
      address,
      async (client, signal) => (await client.borrow(request, {signal})).lent,
      late,
    );
  }

  override async handOver(
    address: string,
    {giver, given}: GrantHandover,
  ): Promise<boolean> {
    const message = {giver, given: [...given]};
    const taken = await this.call(
      'give grant',
      address,
      async (client, signal) => (await client.give(message, {signal})).taken,
    );
    return taken === true;
  }

  override close(): void {
    for (const [address, peer] of [...this.peers]) {
      this.closePeer(address, peer);
    }
  }

  private async call<Answer>(
    step: string,
    address: string,
    exchange: Exchange<Answer>,
    late?: (answer: Promise<Answer>) => void,
  ): Promise<Answer | undefined> {
    const controller = new AbortController();
    const giveUp = () => {
      controller.abort(
        new ConnectError('the operation timed out', Code.DeadlineExceeded),
      );
    };
    const limit = Math.min(
      MAXIMUM_ANSWER_TIMEOUT_MILLISECONDS,
      ANSWER_TIMEOUT_MILLISECONDS + this.linkDelay(address),
    );
    const answer = this.exchange(step, address, exchange, controller.signal);
    if (await settlesWithin(answer, limit)) {
      return answer;
    }
    if (late === undefined || !this.link.isLate) {
      giveUp();
      return answer;
    }
    const timeout = new NetworkTimeout(
      LATE_ANSWER_TIMEOUT_MILLISECONDS,
      giveUp,
    );
    late(
      answer.finally(() => {
        timeout.close();
      }),
    );
    return undefined;
  }

  private async exchange<Answer>(
    step: string,
    address: string,
    exchange: Exchange<Answer>,
    signal: AbortSignal,
  ): Promise<Answer> {
    const peer = this.peer(address);
    try {
      return await exchange(peer.client, signal);
    } catch (error) {
      this.closePeer(address, peer);
      const reason = String(error);
      throw new StepError(step, address, Fate.Unknown, reason, {cause: error});
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
  private closePeer(address: string, peer: Peer): void {
    peer.connections.destroy();
    if (this.peers.get(address) === peer) {
      this.peers.delete(address);
    }
  }
}

/** Whether an answer or a failure comes within a time. */
function settlesWithin(
  work: Promise<unknown>,
  milliseconds: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const timeout = new NetworkTimeout(milliseconds, () => {
      resolve(false);
    });
    const end = () => {
      timeout.close();
      resolve(true);
    };
    work.then(end, end);
  });
}

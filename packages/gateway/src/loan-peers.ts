import {Code, ConnectError, type Client} from '@connectrpc/connect';
import {
  UncongestedLink,
  NetworkTimeout,
  StepError,
  type HostLink,
} from '@wisteriadeal/platform';
import {GrantLoanService} from '@wisteriadeal/schema';

import {fateOfCall, PeerClients} from './peer-clients.js';

/** A request for a loan. */
export interface LoanRequest {
  readonly organisation: string;
  /** Tokens that the first waiting request needs. */
  readonly least: number;
  /** Tokens that the borrower would like. */
  readonly wish: number;
  /** Incarnation of the borrower. */
  readonly borrower: string;
  /** Identifies the loan, so that the borrower credits it once. */
  readonly loan: string;
  /**
   * Whether the lender lends only tokens that it holds, and requests none from the store,
   * because the store has already been asked for the same tokens.
   */
  readonly inHandOnly: boolean;
}

/** A lender's answer. */
export interface LoanAnswer {
  /** Tokens lent, which the borrower owns from then on; 0 for none. */
  readonly lent: number;
  /**
   * Tokens that the lender could still lend; undefined if it may get more from the store,
   * or if it does not state this.
   */
  readonly left?: number | undefined;
}

/**
 * Receives an answer that this host's own link delays beyond the timeout. The promise
 * rejects once the call is abandoned.
 */
export type LateAnswerHandler = (answer: Promise<LoanAnswer>) => void;

/** Client for the loan services of other holders. */
export abstract class LoanPeers {
  /**
   * Requests a loan from one holder.
   *
   * @param onLateAnswer Called before this resolves if this host's own link delays the
   *     answer; without it such a call is abandoned.
   * @returns The answer; undefined if it is late and still expected.
   * @throws StepError if no answer came in time; the lender's record on the log then
   *     has the tokens lent.
   * @example
   * ```ts
   * const answer = await peers.borrow('10.0.0.1:7200', request);
   * ```
   */
  abstract borrow(
    address: string,
    request: LoanRequest,
    onLateAnswer?: LateAnswerHandler,
  ): Promise<LoanAnswer | undefined>;

  /**
   * Hands this process's remaining tokens over to one holder.
   *
   * @returns False if the holder does not accept them.
   * @throws StepError if no answer came in time; the tokens are lost then, since the
   *     holder may have accepted them.
   */
  abstract handOver(address: string, handover: GrantHandover): Promise<boolean>;

  /** Closes open connections. */
  abstract close(): void;
}

/** Tokens that a stopping process hands over. */
export interface GrantHandover {
  /** Incarnation of the stopping process. */
  readonly giver: string;
  readonly given: readonly GrantAmount[];
}

/** Tokens of one organisation's budget. */
export interface GrantAmount {
  readonly organisation: string;
  readonly amount: number;
}

/** The operations of a holder that other holders call. */
export interface LoanHolder {
  /** Lends spare tokens. */
  lend(request: LoanRequest): Promise<LoanAnswer>;
  /** Accepts a stopping process's tokens; returns false if it is stopping itself. */
  takeOver(handover: GrantHandover): boolean;
}

/** A lender in another data centre answers in about 10 ms; a frozen one never does. */
const ANSWER_TIMEOUT_MILLISECONDS = 120;
/** Maximum time that an unresponsive lender delays all loans of an organisation. */
const MAXIMUM_ANSWER_TIMEOUT_MILLISECONDS = 1_000;
/** Extra time for an answer that this host's own link delays beyond its timeout. */
const LATE_ANSWER_TIMEOUT_MILLISECONDS = 5_000;

type Exchange<Answer> = (
  client: Client<typeof GrantLoanService>,
  signal: AbortSignal,
) => Promise<Answer>;

/** Client over Connect. */
export class ConnectLoanPeers extends LoanPeers {
  private readonly clients = new PeerClients(GrantLoanService);

  /** @param link This host's link; timeouts are longer while it is congested. */
  constructor(private readonly link: HostLink = new UncongestedLink()) {
    super();
  }

  override async borrow(
    address: string,
    request: LoanRequest,
    onLateAnswer?: LateAnswerHandler,
  ): Promise<LoanAnswer | undefined> {
    return this.call(
      'borrow grant',
      address,
      async (client, signal) => {
        const {lent, left} = await client.borrow(request, {signal});
        return {lent, left};
      },
      onLateAnswer,
    );
  }

  override async handOver(
    address: string,
    {giver, given}: GrantHandover,
  ): Promise<boolean> {
    const message = {giver, given: [...given]};
    const isTaken = await this.call(
      'give grant',
      address,
      async (client, signal) => (await client.give(message, {signal})).taken,
    );
    return isTaken === true;
  }

  override close(): void {
    this.clients.close();
  }

  private async call<Answer>(
    step: string,
    address: string,
    exchange: Exchange<Answer>,
    onLateAnswer?: (answer: Promise<Answer>) => void,
  ): Promise<Answer | undefined> {
    const controller = new AbortController();
    const abandon = () => {
      controller.abort(
        new ConnectError('the operation timed out', Code.DeadlineExceeded),
      );
    };
    const timeoutMilliseconds = Math.min(
      MAXIMUM_ANSWER_TIMEOUT_MILLISECONDS,
      ANSWER_TIMEOUT_MILLISECONDS + this.linkDelay(address),
    );
    const answer = this.exchange(step, address, exchange, controller.signal);
    if (await settlesWithin(answer, timeoutMilliseconds)) {
      return answer;
    }
    if (onLateAnswer === undefined || !this.link.isLate) {
      abandon();
      return answer;
    }
    const timeout = new NetworkTimeout(
      LATE_ANSWER_TIMEOUT_MILLISECONDS,
      abandon,
    );
    onLateAnswer(
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
    const peer = this.clients.at(address);
    try {
      return await exchange(peer.client, signal);
    } catch (error) {
      this.clients.closeClient(address, peer);
      const reason = String(error);
      throw new StepError(step, address, fateOfCall(error), reason, {
        cause: error,
      });
    }
  }

  /** Link delay of a call, milliseconds; it applies twice with a new connection. */
  private linkDelay(address: string): number {
    const isNew = this.clients.needsConnection(address);
    return (isNew ? 2 : 1) * this.link.delayMilliseconds;
  }
}

/** Whether a promise resolves or rejects within a time. */
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

import got, {RequestError, TimeoutError, type Got, type Request} from 'got';
import {Agent} from 'node:http';

import {
  IDLE_CONNECTION_MILLISECONDS,
  isNeverSentCode,
} from './connection-errors.js';
import {Fate, StepError} from './step-error.js';

/** Limits of one exchange, in milliseconds; absent means none. */
export interface ExchangeTimeouts {
  readonly connect: number;
  /** From the sent request to the head of the answer. */
  readonly response?: number;
  /** Longest silence on the connection. */
  readonly idle?: number;
  /** The whole exchange. */
  readonly total?: number;
}

/** One exchange to make. */
export interface Exchange {
  /** Step named in errors. */
  readonly step: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  readonly timeouts: ExchangeTimeouts;
  readonly signal?: AbortSignal | undefined;
}

/** An answer whose head has been read. */
export interface OpenAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** The body as it arrives; destroying it destroys the connection. */
  readonly body: Request;
}

/** An answer that was read to its end. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

function fateOf(error: unknown): Fate {
  if (error instanceof TimeoutError && error.event === 'connect') {
    return Fate.NotDone;
  }
  return error instanceof RequestError && isNeverSentCode(error.code)
    ? Fate.NotDone
    : Fate.Unknown;
}

/**
 * Turns any error of an exchange into one that names step, peer and fate.
 *
 * @example
 * ```ts
 * catch (error) { throw toStepError('read events', 'engine-1', error); }
 * ```
 */
export function toStepError(
  step: string,
  peer: string,
  error: unknown,
): StepError {
  if (error instanceof StepError) {
    return error;
  }
  const reason = error instanceof Error ? error.message : String(error);
  return new StepError(step, peer, fateOf(error), reason, {cause: error});
}

/**
 * One HTTP peer with its pool of kept-alive connections. Nothing is retried
 * here: whether a repeat is harmless is known only to the caller.
 */
export class HttpPeer {
  private readonly agent: Agent;
  private readonly client: Got;

  /**
   * @param url `http://IP:port`, without a slash at the end.
   * @param peer Name of the peer in errors.
   */
  constructor(
    private readonly url: string,
    readonly peer: string,
  ) {
    this.agent = new Agent({
      keepAlive: true,
      timeout: IDLE_CONNECTION_MILLISECONDS,
    });
    this.client = got.extend({
      agent: {http: this.agent},
      retry: {limit: 0},
      throwHttpErrors: false,
      followRedirect: false,
      decompress: false,
    });
  }

  /**
   * Sends a request and resolves with the head of the answer.
   *
   * @throws StepError with fate NotDone only where no connection was made.
   * @example
   * ```ts
   * const answer = await peer.open({step: 'read load', method: 'GET', …});
   * ```
   */
  async open(exchange: Exchange): Promise<OpenAnswer> {
    const body = this.client.stream(`${this.url}${exchange.path}`, {
      method: exchange.method as 'GET',
      headers: {...exchange.headers},
      timeout: timeoutOptions(exchange.timeouts),
      ...(exchange.body === undefined ? {} : {body: exchange.body}),
      ...(exchange.signal === undefined ? {} : {signal: exchange.signal}),
    });
    return new Promise<OpenAnswer>((resolve, reject) => {
      // Stays registered: an error after the head also ends the iteration over
      // the body, and must not end the process where nobody iterates.
      body.on('error', error => {
        reject(toStepError(exchange.step, this.peer, error));
      });
      body.once('response', (response: OpenAnswer & {statusCode: number}) => {
        resolve({status: response.statusCode, headers: response.headers, body});
      });
    });
  }

  /**
   * Makes a whole exchange.
   *
   * @param check Called with the head; an error that it throws destroys the
   *     connection, so that the rest of a wrong answer is never read as the
   *     next one.
   * @throws StepError
   * @example
   * ```ts
   * const {status} = await peer.exchange({step: 'give order', …});
   * ```
   */
  async exchange(
    exchange: Exchange,
    check?: (answer: OpenAnswer) => void,
  ): Promise<WholeAnswer> {
    const answer = await this.open(exchange);
    try {
      check?.(answer);
      const chunks: Buffer[] = [];
      for await (const chunk of answer.body) {
        chunks.push(chunk as Buffer);
      }
      const {status, headers} = answer;
      return {status, headers, body: Buffer.concat(chunks)};
    } catch (error) {
      answer.body.destroy();
      throw toStepError(exchange.step, this.peer, error);
    }
  }

  /** Destroys every connection; exchanges in progress fail. */
  close(): Promise<void> {
    this.agent.destroy();
    return Promise.resolve();
  }
}

function timeoutOptions(timeouts: ExchangeTimeouts): Record<string, number> {
  return {
    connect: timeouts.connect,
    ...(timeouts.response === undefined ? {} : {response: timeouts.response}),
    ...(timeouts.idle === undefined ? {} : {socket: timeouts.idle}),
    ...(timeouts.total === undefined ? {} : {request: timeouts.total}),
  };
}

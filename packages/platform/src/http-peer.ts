import got, {RequestError, type Got, type Request} from 'got';
import {Agent, type IncomingMessage} from 'node:http';

import {KEEP_ALIVE_TIMEOUT_MILLISECONDS} from './connection-errors.js';
import {INTERRUPTED_HEAD, isInterruptedHead} from './interrupted-head.js';
import {Fate, StepError} from './step-error.js';

/** Timeouts of one HTTP exchange, in milliseconds; there is no limit where one is absent. */
export interface ExchangeTimeouts {
  readonly connect: number;
  /** From the sent request to the response head. */
  readonly response?: number;
  /** Longest time without data on the connection. */
  readonly idle?: number;
  /** From the connect to the end of the response. */
  readonly total?: number;
}

/** A request with its timeouts. */
export interface Exchange {
  /** Name of the operation in errors. */
  readonly step: string;
  readonly method: string;
  /** Path with query string. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  readonly timeouts: ExchangeTimeouts;
  readonly signal?: AbortSignal | undefined;
}

/** A response whose head has been read. */
export interface StreamingResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** The body as it arrives; destroying it destroys the connection. */
  readonly body: Request;
}

/** A response that was read completely. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** Nothing was sent if there is a time of the request, and none of its connect. */
function fateOf(error: unknown): Fate {
  return error instanceof RequestError &&
    error.timings !== undefined &&
    error.timings.connect === undefined
    ? Fate.NotDone
    : Fate.Unknown;
}

/**
 * Converts any error of an exchange into a `StepError` with step, peer and fate.
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
 * HTTP client for one peer, with a pool of keep-alive connections. It never retries:
 * only the calling code can tell whether a request may be repeated.
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
      timeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
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
   * Sends a request and resolves once the response head has been read.
   *
   * @throws StepError with fate NotDone only if no connection was established.
   * @example
   * ```ts
   * const response = await peer.open({step: 'read load', method: 'GET', …});
   * ```
   */
  async open(exchange: Exchange): Promise<StreamingResponse> {
    const body = this.client.stream(`${this.url}${exchange.path}`, {
      method: exchange.method as 'GET',
      headers: {...exchange.headers},
      timeout: timeoutOptions(exchange.timeouts),
      ...(exchange.body === undefined ? {} : {body: exchange.body}),
      ...(exchange.signal === undefined ? {} : {signal: exchange.signal}),
    });
    return new Promise<StreamingResponse>((resolve, reject) => {
      // The listener stays registered after the head: a later error also ends the
      // iteration over the body, and without a listener it would end the process
      // when no code iterates over the body.
      body.on('error', error => {
        reject(toStepError(exchange.step, this.peer, error));
      });
      body.once('response', (response: StreamingResponse & IncomingMessage) => {
        if (isInterruptedHead(response)) {
          body.destroy(new Error(INTERRUPTED_HEAD));
          return;
        }
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
        });
      });
    });
  }

  /**
   * Sends a request and reads the complete response.
   *
   * @param check Called with the response head; an error that it throws destroys
   *     the connection, so that the rest of a rejected response is never read as
   *     the next one.
   * @throws StepError with the fate of the request.
   * @example
   * ```ts
   * const {status} = await peer.exchange({step: 'send an order', …});
   * ```
   */
  async exchange(
    exchange: Exchange,
    check?: (response: StreamingResponse) => void,
  ): Promise<BufferedResponse> {
    const response = await this.open(exchange);
    try {
      check?.(response);
      const chunks: Buffer[] = [];
      for await (const chunk of response.body) {
        chunks.push(chunk as Buffer);
      }
      const {status, headers} = response;
      return {status, headers, body: Buffer.concat(chunks)};
    } catch (error) {
      response.body.destroy();
      throw toStepError(exchange.step, this.peer, error);
    }
  }

  /** Closes every connection; exchanges in progress fail. */
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

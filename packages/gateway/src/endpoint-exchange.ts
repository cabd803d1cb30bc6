import {NetworkTimeout} from '@wisteriadeal/platform';
import {
  request as sendRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';

import type {Dialect, EndpointAnswerHeaders} from './dialect.js';
import type {EndpointConnections} from './endpoint-connections.js';
import type {EndpointEntry} from './endpoint-entry.js';

/** What is certain of a request that got no answer to pass on. */
export enum ExchangeFate {
  /** No connection: nothing was sent. */
  NotSent = 'not-sent',
  /** The endpoint states that it did not run it. */
  NotRun = 'not-run',
  /** Another endpoint has the address, and did not run it. */
  WrongEndpoint = 'wrong-endpoint',
  /** It may have run, or run still. */
  Unknown = 'unknown',
}

/** An endpoint's answer up to its headers. */
export interface AnswerHead {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly said: EndpointAnswerHeaders;
}

/** Why there is no answer to pass on. */
export interface ExchangeFailure {
  readonly fate: ExchangeFate;
  readonly reason: string;
  /** The connection may have been late for this host's own link. */
  readonly isLinkDelay?: boolean;
}

/** What is sent to an endpoint. */
export interface DispatchedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly attemptId: string | undefined;
}

/** Longest body that is held until it is whole; a longer one is a failure. */
const LONGEST_WHOLE_BODY_BYTES = 8 * 1024 * 1024;

/** One request on its way to one endpoint, and its answer. */
export class EndpointExchange {
  private readonly outgoing: ClientRequest;
  private incoming: IncomingMessage | undefined;
  private failure: string | undefined;
  private isConnected = false;
  private connectStartedAt: number | undefined;
  private wasLinkDelay = false;
  private connectTimeout: NetworkTimeout | undefined;

  constructor(
    private readonly dialect: Dialect,
    private readonly connections: EndpointConnections,
    endpoint: EndpointEntry,
    private readonly sent: DispatchedRequest,
  ) {
    this.outgoing = sendRequest({
      agent: connections,
      host: endpoint.address,
      port: endpoint.port,
      method: sent.method,
      path: sent.target,
      headers: [...sent.headers],
    });
    this.outgoing.once('socket', socket => {
      if (!socket.connecting) {
        this.isConnected = true;
        return;
      }
      const startedAt = performance.now();
      this.connectStartedAt = startedAt;
      const limit = connections.connectLimitMilliseconds;
      this.connectTimeout = new NetworkTimeout(limit, () => {
        this.cancel('no connection in time');
      });
      socket.once('connect', () => {
        connections.connected(performance.now() - startedAt);
        this.connectTimeout?.close();
        this.isConnected = true;
      });
    });
    this.outgoing.on('error', error => {
      this.failure ??= error.message;
    });
    this.outgoing.end(sent.body);
  }

  /** Waits for the answer's headers. */
  async head(): Promise<AnswerHead | ExchangeFailure> {
    const incoming = await this.firstResponse();
    if (incoming === undefined) {
      return this.failed();
    }
    const status = incoming.statusCode ?? 0;
    const {rawHeaders} = incoming;
    const said = this.dialect.endpointAnswer(status, rawHeaders);
    const {attemptId} = this.sent;
    if (said.attemptId !== undefined && said.attemptId !== attemptId) {
      this.cancel('answer to another request');
      return this.failed();
    }
    if (said.isNotRun) {
      incoming.resume();
      const fate =
        status === 421 ? ExchangeFate.WrongEndpoint : ExchangeFate.NotRun;
      return {fate, reason: `answered ${status} without running it`};
    }
    return {status, rawHeaders, said};
  }

  /** Reads the rest of an answer; undefined where it was cut. */
  async wholeBody(): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    await this.read(chunk => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes > LONGEST_WHOLE_BODY_BYTES) {
        this.cancel('answer too long');
      }
    });
    return this.isWhole ? Buffer.concat(chunks) : undefined;
  }

  /**
   * Hands on the parts of an answer as they come; resolves where it ends or is cut.
   *
   * @param take Takes a part; no other comes before the promise that it may return.
   * @throws What `take` throws.
   */
  read(take: (chunk: Buffer) => Promise<void> | undefined): Promise<void> {
    const {incoming} = this;
    if (incoming === undefined || incoming.destroyed) {
      this.failure ??= 'answer cut';
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      let taken: Promise<void> | undefined;
      const finish = () => {
        // A stream that is paused ends nevertheless once it has no more parts.
        resolve(taken);
      };
      incoming.on('error', error => {
        this.failure ??= String(error);
      });
      incoming.once('end', finish);
      incoming.once('close', finish);
      incoming.on('data', (chunk: Buffer) => {
        try {
          taken = take(chunk);
          holdBackUntil(incoming, taken);
        } catch (error) {
          this.cancel('not passed on');
          reject(error instanceof Error ? error : new Error(String(error)));
        }
      });
    });
  }

  /**
   * True where the answer came to its end. A connection that was reset ends an
   * answer without a length as if it were whole: the error alone tells.
   */
  get isWhole(): boolean {
    return this.incoming?.complete === true && this.failure === undefined;
  }

  /**
   * False for an answer without a length that ends with its connection: nothing
   * but the connection's end tells that it is whole.
   */
  get hasLength(): boolean {
    const headers = this.incoming?.headers;
    return (
      headers?.['content-length'] !== undefined ||
      headers?.['transfer-encoding'] !== undefined
    );
  }

  /** Whether its connection is awaited, and may be late for this host's own link. */
  get awaitsLink(): boolean {
    return (
      this.connectStartedAt !== undefined &&
      !this.isConnected &&
      this.connections.isLinkLate
    );
  }

  /** Why it failed, where it did. */
  get failureReason(): string {
    return this.failure ?? 'answer cut';
  }

  /** Closes the connection: the endpoint stops working on the request. */
  cancel(reason: string): void {
    if (this.failure === undefined) {
      this.noteConnectGivenUp();
    }
    this.failure ??= reason;
    this.connectTimeout?.close();
    this.outgoing.destroy();
  }

  private noteConnectGivenUp(): void {
    if (this.connectStartedAt !== undefined && !this.isConnected) {
      const waited = performance.now() - this.connectStartedAt;
      this.connections.connectGivenUp(waited);
      this.wasLinkDelay = this.awaitsLink;
    }
  }

  private firstResponse(): Promise<IncomingMessage | undefined> {
    return new Promise(resolve => {
      this.outgoing.once('response', incoming => {
        this.incoming = incoming;
        const keepAlive = String(incoming.headers['keep-alive'] ?? '');
        this.connections.answered(incoming.socket, keepAlive);
        resolve(incoming);
      });
      this.outgoing.once('close', () => {
        this.connectTimeout?.close();
        resolve(undefined);
      });
    });
  }

  private failed(): ExchangeFailure {
    return {
      fate: this.isConnected ? ExchangeFate.Unknown : ExchangeFate.NotSent,
      reason: this.failureReason,
      isLinkDelay: this.wasLinkDelay,
    };
  }
}

function holdBackUntil(
  incoming: IncomingMessage,
  taken: Promise<void> | undefined,
): void {
  if (taken !== undefined) {
    incoming.pause();
    void taken.then(() => incoming.resume());
  }
}

/** Whether an exchange ended without an answer to pass on. */
export function isFailure(
  head: AnswerHead | ExchangeFailure,
): head is ExchangeFailure {
  return 'fate' in head;
}

import {
  hostShortageOf,
  INTERRUPTED_HEAD,
  isInterruptedHead,
  NetworkTimeout,
  type HostShortage,
} from '@wisteriadeal/platform';
import {
  request as sendRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';

import {AnswerBeginning, type ChunkConsumer} from './answer-beginning.js';
import {BodyParts} from './body-parts.js';
import type {Dialect, EndpointAnswerHeaders} from './dialect.js';
import type {
  EndpointConnectionPool,
  EndpointRequestOptions,
} from './endpoint-connection-pool.js';
import type {EndpointEntry} from './endpoint-entry.js';
import {HeldKind, InputAccount, type HeldBytes} from './input-memory/index.js';
import {
  ChunkPacer,
  InputBreach,
  InputWatch,
  type InputListener,
} from './input-limits/index.js';
import {NoRelayError} from './relay-errors.js';

/** What is known about a request that got no answer to forward. */
export enum FailureKind {
  /** There was no connection, so nothing was sent. */
  NotSent = 'not-sent',
  /** The endpoint states that it did not run the request. */
  NotRun = 'not-run',
  /** Another endpoint now has the address, and did not run the request. */
  WrongEndpoint = 'wrong-endpoint',
  /** The request may have run or may still be running. */
  Unknown = 'unknown',
}

/** How a request got its connection to an endpoint. */
export enum ConnectionOrigin {
  /** No connection was opened. */
  None = 'none',
  /** Opened for this request. */
  New = 'new',
  /** Kept from an earlier request. */
  Kept = 'kept',
}

/** What marks the end of an answer's body, as it appears in logs. */
export enum AnswerFraming {
  /** A content length. */
  Length = 'length',
  /** A last chunk. */
  Chunked = 'chunked',
  /** The end of its connection, which doesn't tell whether it is complete. */
  UntilClose = 'until-close',
  /** Nothing: answers of this status or to this method have no body. */
  NoBody = 'no-body',
}

/** How an answer's body ended, as it appears in logs. */
export enum BodyEnd {
  /** At the end that its framing marks. */
  Framed = 'framed',
  /** The connection of an answer without a length ended. */
  ConnectionClosed = 'closed',
  /** The connection broke, or this host cancelled the exchange. */
  Broken = 'broken',
}

/** Status and headers of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly endpointHeaders: EndpointAnswerHeaders;
}

/** Why there is no answer to forward. */
export interface ExchangeFailure {
  readonly kind: FailureKind;
  readonly reason: string;
  /** Headers of the endpoint's refusal, if there is one. */
  readonly endpointHeaders?: EndpointAnswerHeaders;
  /** Whether the connect may have been delayed by this host's own link. */
  readonly mayBeLinkDelay?: boolean;
  /** Whether neither this host nor another one reaches the service. */
  readonly hasNoPath?: boolean;
  /** What this host itself lacked for the connection. */
  readonly shortage?: HostShortage | undefined;
}

/** A request as it is sent to an endpoint. */
export interface DispatchedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly attemptId: string | undefined;
  /**
   * Whether the endpoint has answered the same attempt before, so that the identifier doesn't
   * tell a repeated answer from the one to this request.
   */
  readonly wasAnswered?: boolean;
}

/**
 * Maximum size of a body that is buffered until it is complete; a longer one is
 * a failure.
 */
const MAXIMUM_BUFFERED_BODY_BYTES = 8 * 1024 * 1024;

const SILENT_LISTENER: InputListener = {
  ended: () => undefined,
  deferred: () => undefined,
};

const BODILESS_STATUSES: readonly number[] = [204, 304];
/** Statuses of final answers (RFC 9110, section 15). */
const MINIMUM_FINAL_STATUS = 200;
const MAXIMUM_FINAL_STATUS = 599;

/** Codes of errors that only the other side's end of a connection causes. */
const CLOSED_CODES: ReadonlySet<unknown> = new Set(['ECONNRESET', 'EPIPE']);

/** One request to one endpoint, and its answer. */
export class EndpointExchange {
  private readonly outgoing: ClientRequest;
  private readonly input: InputWatch;
  private readonly startedAt = performance.now();
  private incoming: IncomingMessage | undefined;
  private failure: string | undefined;
  private isCancelled = false;
  /** Whether the exchange was cancelled, so that nothing more is passed on. */
  private isAbandoned = false;
  private wasClosed = false;
  private origin = ConnectionOrigin.None;
  private socket: Socket | undefined;
  private connectStartedAt: number | undefined;
  private wasDelayedByLink = false;
  private hasNoPath = false;
  private lacked: HostShortage | undefined;
  private abandonWait: () => void = () => undefined;
  private connectTimeout: NetworkTimeout | undefined;
  private held: HeldBytes | undefined;
  private beginning: AnswerBeginning | undefined;
  private reading: Promise<void> | undefined;

  /**
   * @param listener Told of the endpoint's input.
   * @param account Counts what is held of the answer.
   */
  constructor(
    private readonly dialect: Dialect,
    private readonly connections: EndpointConnectionPool,
    private readonly endpoint: EndpointEntry,
    private readonly dispatched: DispatchedRequest,
    private readonly listener: InputListener = SILENT_LISTENER,
    private readonly account = new InputAccount(),
  ) {
    const options: EndpointRequestOptions = {
      agent: connections,
      host: endpoint.address,
      port: endpoint.port,
      method: dispatched.method,
      path: dispatched.target,
      headers: [...dispatched.headers],
      endpointId: endpoint.id,
      endpointBuild: endpoint.build,
    };
    this.outgoing =
      dispatched.wasAnswered === true
        ? connections.requestUnshared(options)
        : sendRequest(options);
    this.input = new InputWatch(this.outgoing, breach => {
      this.endInput(breach);
    });
    this.outgoing.once('socket', socket => {
      this.socket = socket;
      const startedAt = performance.now();
      if (!socket.connecting) {
        if (this.outgoing.reusedSocket) {
          this.origin = ConnectionOrigin.Kept;
        } else if (socket.destroyed) {
          // The system refused the connect at once; its error follows.
          this.connectStartedAt = startedAt;
        } else {
          this.origin = ConnectionOrigin.New;
        }
        return;
      }
      this.connectStartedAt = startedAt;
      const limit = connections.connectTimeoutMilliseconds;
      this.connectTimeout = new NetworkTimeout(limit, () => {
        this.cancel('connect timeout');
        this.recordConnectFailure(startedAt);
      });
      socket.once('connect', () => {
        connections.recordConnect(endpoint, startedAt);
        connections.open.opened(socket, endpoint);
        this.connectTimeout?.close();
        this.origin = ConnectionOrigin.New;
      });
    });
    this.outgoing.on('error', error => {
      if (this.failure === undefined && !this.hasEnded) {
        this.failure = error.message;
        this.wasClosed = isClose(error);
        this.hasNoPath = error instanceof NoRelayError;
        this.lacked = this.isConnected ? undefined : hostShortageOf(error);
        this.recordConnectFailure(
          this.connectStartedAt ?? (this.lacked && performance.now()),
        );
      }
    });
    this.outgoing.end(dispatched.body);
  }

  /** How the request got its connection, as far as it has one. */
  get connectionOrigin(): ConnectionOrigin {
    return this.origin;
  }

  /**
   * Time since which what answers has been running, at the latest; monotonic clock,
   * milliseconds.
   */
  get openSince(): number {
    return this.socket === undefined
      ? performance.now()
      : this.connections.openSince(this.socket);
  }

  /** Resolves with the answer's head, or with the failure. */
  async head(): Promise<AnswerHead | ExchangeFailure> {
    const incoming = await this.firstResponse();
    if (incoming === undefined) {
      return this.failureResult();
    }
    if (isInterruptedHead(incoming)) {
      this.cancel(INTERRUPTED_HEAD);
      return this.failureResult();
    }
    const status = incoming.statusCode ?? 0;
    const {rawHeaders} = incoming;
    if (!isFinalStatus(status)) {
      this.cancel(`status ${status} is no answer`);
      return this.failureResult();
    }
    const endpointHeaders = this.dialect.endpointAnswer(status, rawHeaders);
    const {attemptId} = this.dispatched;
    if (
      endpointHeaders.attemptId !== undefined &&
      endpointHeaders.attemptId !== attemptId
    ) {
      this.cancel('answer to another request');
      return this.failureResult();
    }
    if (endpointHeaders.attemptId === undefined) {
      // The next request could not tell a repetition of it from its own answer.
      this.outgoing.shouldKeepAlive = false;
    }
    if (endpointHeaders.isNotRun) {
      this.input.discard(incoming);
      const reason = `answered ${status} without running it`;
      return status === 421
        ? {kind: FailureKind.WrongEndpoint, reason}
        : {kind: FailureKind.NotRun, reason, endpointHeaders};
    }
    return {status, rawHeaders, endpointHeaders};
  }

  /** Reads the complete body of an answer; undefined if it was cut. */
  async readBody(): Promise<Buffer | undefined> {
    const parts = new BodyParts();
    let bytes = 0;
    const held = this.hold(HeldKind.Answer);
    await this.read(chunk => {
      bytes += chunk.length;
      parts.add(chunk);
      held.addPart(chunk.length);
      if (bytes > MAXIMUM_BUFFERED_BODY_BYTES) {
        this.endInput(InputBreach.BodyBytes);
      }
    });
    held.set(bytes);
    held.complete();
    return this.isComplete ? parts.join() : undefined;
  }

  /**
   * Reads the beginning of an answer, which is held until `read` is called.
   *
   * @param isComplete Called with each chunk; whether it ends the beginning.
   * @returns Resolves when the beginning is complete or as long as it may be, or when
   *     the answer ends or is cut before.
   */
  async readBeginning(isComplete: (chunk: Buffer) => boolean): Promise<void> {
    const beginning = new AnswerBeginning(isComplete);
    this.beginning = beginning;
    const reading = this.readAnswer(chunk => {
      const consumed = beginning.add(chunk);
      if (!beginning.isTaken) {
        this.eventHeld(beginning.bytes);
      }
      return consumed;
    });
    this.reading = reading;
    // `read` rejects with its error.
    const ended = reading.catch(() => undefined);
    await Promise.race([beginning.whenComplete, ended]);
  }

  /**
   * Passes on the chunks of an answer as they arrive; resolves when the answer
   * ends or is cut.
   *
   * @param onChunk Consumes a chunk; reading pauses until the promise that it
   *     may return has resolved.
   * @throws The error that `onChunk` throws.
   */
  async read(onChunk: ChunkConsumer): Promise<void> {
    const {beginning} = this;
    if (beginning === undefined) {
      await this.readAnswer(onChunk);
      return;
    }
    try {
      await beginning.passTo(onChunk);
    } catch (error) {
      this.cancel('relaying failed');
      throw error;
    }
    await this.reading;
  }

  /**
   * Whether the answer is complete. When a connection is reset, Node.js ends an
   * answer without a length as if it were complete; only the error shows the
   * difference.
   */
  get isComplete(): boolean {
    return this.incoming?.complete === true && this.failure === undefined;
  }

  /** What marks the end of the answer's body. */
  get framing(): AnswerFraming {
    const headers = this.incoming?.headers;
    if (headers?.['transfer-encoding'] !== undefined) {
      return AnswerFraming.Chunked;
    }
    if (headers?.['content-length'] !== undefined) {
      return AnswerFraming.Length;
    }
    return this.mayHaveBody ? AnswerFraming.UntilClose : AnswerFraming.NoBody;
  }

  /** The answer's content type; empty if it states none. */
  get contentType(): string {
    return this.incoming?.headers['content-type'] ?? '';
  }

  /** How the answer's body ended, once it has been read. */
  get bodyEnd(): BodyEnd {
    if (!this.isComplete) {
      return BodyEnd.Broken;
    }
    return this.framing === AnswerFraming.UntilClose
      ? BodyEnd.ConnectionClosed
      : BodyEnd.Framed;
  }

  /**
   * Whether the connect is pending, and may be delayed by this host's own link.
   */
  get isConnectDelayedByLink(): boolean {
    return (
      this.connectStartedAt !== undefined &&
      !this.isConnected &&
      this.connections.isLinkLate
    );
  }

  /** Records how many bytes of an event are held that is not complete. */
  eventHeld(bytes: number): void {
    if (bytes > 0 || this.held !== undefined) {
      (this.held ?? this.hold(HeldKind.Event)).set(bytes);
    }
  }

  /** Hands the account of the body over; its new owner has to close it. */
  takeHeld(): HeldBytes | undefined {
    const {held} = this;
    held?.complete();
    this.held = undefined;
    return held;
  }

  /** Closes the account of the bytes that are still held. */
  close(): void {
    this.held?.close();
  }

  /** What this host itself lacked for the connection; undefined if nothing. */
  get shortage(): HostShortage | undefined {
    return this.lacked;
  }

  /** Whether this host ended the exchange, and not the endpoint. */
  get wasCancelled(): boolean {
    return this.isCancelled;
  }

  /**
   * Whether the answer broke because the other side closed the connection. Neither
   * silence nor a faulty answer shows that the endpoint no longer works on the request.
   */
  get wasClosedByEndpoint(): boolean {
    return this.wasClosed && !this.isCancelled;
  }

  /** Whether the exchange has failed, or was cancelled. */
  get hasFailed(): boolean {
    return this.failure !== undefined;
  }

  /** Reason of a failure. */
  get failureReason(): string {
    return this.failure ?? 'answer cut';
  }

  /**
   * Closes the connection, which makes the endpoint stop working on the
   * request.
   */
  cancel(reason: string): void {
    this.isAbandoned = true;
    if (this.failure === undefined) {
      this.isCancelled = this.incoming?.complete !== true;
      this.recordAbandonedConnect();
    }
    this.failure ??= reason;
    this.connectTimeout?.close();
    this.outgoing.destroy();
    if (!this.isConnected) {
      // A request that waits for its connection closes only when it gets one.
      this.abandonWait();
    }
  }

  /** Closes the connection because a limit of the endpoint's input is exceeded. */
  endInput(breach: InputBreach): void {
    if (this.failure === undefined && this.incoming?.complete !== true) {
      this.cancel(`input limit: ${breach}`);
      this.listener.ended(this.endpoint.id, {
        limit: breach,
        elapsedMilliseconds: performance.now() - this.startedAt,
        bytes: this.input.arrivedBytes,
      });
    }
  }

  /** Whether the whole answer has arrived; what follows it belongs to no request. */
  private get hasEnded(): boolean {
    return (
      this.incoming?.complete === true &&
      this.framing !== AnswerFraming.UntilClose
    );
  }

  private async readAnswer(onChunk: ChunkConsumer): Promise<void> {
    const {incoming} = this;
    if (incoming === undefined || incoming.destroyed) {
      if (this.failure === undefined) {
        this.failure = 'answer cut';
        this.wasClosed = true;
      }
      return;
    }
    const {socket} = incoming;
    await this.readChunks(incoming, onChunk);
    if (
      this.bodyEnd === BodyEnd.ConnectionClosed &&
      !(await this.connections.confirmEnd(socket))
    ) {
      this.failure ??= 'connection not ended in order';
      this.wasClosed = this.connections.isDirect;
    }
  }

  private hold(kind: HeldKind): HeldBytes {
    this.held?.close();
    this.held = this.account.hold(kind, `endpoint ${this.endpoint.id}`, () => {
      this.endInput(InputBreach.ProcessBytes);
    });
    return this.held;
  }

  private get mayHaveBody(): boolean {
    const status = this.incoming?.statusCode ?? 0;
    return (
      this.dispatched.method !== 'HEAD' && !BODILESS_STATUSES.includes(status)
    );
  }

  private get isConnected(): boolean {
    return this.origin !== ConnectionOrigin.None;
  }

  private readChunks(
    incoming: IncomingMessage,
    onChunk: ChunkConsumer,
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      let consumed: Promise<void> | undefined;
      const finish = () => {
        // A paused stream still emits its end once it has no more chunks.
        resolve(consumed);
      };
      incoming.on('error', error => {
        if (this.failure === undefined) {
          this.failure = String(error);
          this.wasClosed = isClose(error);
        }
      });
      const fail = (error: unknown) => {
        this.cancel('relaying failed');
        reject(error instanceof Error ? error : new Error(String(error)));
      };
      const pacer = new ChunkPacer(this.connections.turns, {
        consume: onChunk,
        isCut: () => this.isAbandoned,
        deferred: () => {
          this.listener.deferred();
        },
      });
      incoming.once('end', finish);
      incoming.once('close', finish);
      incoming.on('data', (chunk: Buffer) => {
        this.input.bodyRead(chunk.length);
        try {
          consumed = pacer.pass(chunk)?.catch(fail);
          pauseUntil(incoming, consumed);
        } catch (error) {
          fail(error);
        }
      });
    });
  }

  private recordConnectFailure(startedAt: number | undefined): void {
    if (startedAt !== undefined && !this.isConnected) {
      this.connections.recordConnectFailure(this.endpoint, {
        startedAt,
        reason: this.failureReason,
        shortage: this.lacked,
      });
    }
  }

  private recordAbandonedConnect(): void {
    if (this.connectStartedAt !== undefined && !this.isConnected) {
      const waited = performance.now() - this.connectStartedAt;
      this.connections.recordAbandonedConnect(waited);
      this.wasDelayedByLink = this.isConnectDelayedByLink;
    }
  }

  /** The end of a connection after a whole answer that announces it is no crash. */
  private recordAnnouncedEnd({socket}: IncomingMessage): void {
    const isAnnounced =
      !this.outgoing.shouldKeepAlive &&
      this.framing !== AnswerFraming.UntilClose;
    if (isAnnounced) {
      this.connections.open.endAnnounced(socket);
    }
  }

  private firstResponse(): Promise<IncomingMessage | undefined> {
    return new Promise(resolve => {
      this.abandonWait = () => {
        resolve(undefined);
      };
      this.outgoing.once('response', incoming => {
        this.incoming = incoming;
        const keepAlive = String(incoming.headers['keep-alive'] ?? '');
        this.connections.recordKeepAlive(incoming.socket, keepAlive);
        incoming.once('end', () => {
          this.recordAnnouncedEnd(incoming);
        });
        resolve(incoming);
      });
      this.outgoing.once('close', () => {
        this.connectTimeout?.close();
        resolve(undefined);
      });
    });
  }

  private failureResult(): ExchangeFailure {
    return {
      kind: this.isConnected ? FailureKind.Unknown : FailureKind.NotSent,
      reason: this.failureReason,
      mayBeLinkDelay: this.wasDelayedByLink,
      hasNoPath: this.hasNoPath,
      shortage: this.lacked,
    };
  }
}

/** Whether a status ends a request; HTTP parsers accept any three digits. */
function isFinalStatus(status: number): boolean {
  return status >= MINIMUM_FINAL_STATUS && status <= MAXIMUM_FINAL_STATUS;
}

function pauseUntil(
  incoming: IncomingMessage,
  consumed: Promise<void> | undefined,
): void {
  if (consumed !== undefined) {
    incoming.pause();
    void consumed.then(() => incoming.resume());
  }
}

function isClose(error: Error): boolean {
  return 'code' in error && CLOSED_CODES.has(error.code);
}

/** Whether an exchange ended without an answer to forward. */
export function isFailure(
  head: AnswerHead | ExchangeFailure,
): head is ExchangeFailure {
  return 'kind' in head;
}

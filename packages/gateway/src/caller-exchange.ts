import type {IncomingMessage, ServerResponse} from 'node:http';

import type {CallerHeaders, Dialect} from './dialect.js';
import {turnOfEventLoop} from './event-loop.js';
import type {OwnAnswer} from './own-answer.js';

/** Two spaces, `HTTP/1.1` and a line end. */
const LINE_BYTES = 12;
/** A colon and a space behind a name; a line end behind a value. */
const SEPARATOR_BYTES = 2;

/** Turns of the event loop after which a close behind a request has been read. */
const CLOSE_TURNS = 2;

/** The caller sent a longer body than the limits allow. */
export class BodyTooLargeError extends Error {
  override readonly name: string = 'BodyTooLargeError';
}

/** One request of a caller and the way back to it. */
export class CallerExchange {
  private readonly left = new AbortController();
  private parsed: CallerHeaders | undefined;
  private turnsSinceRead = 0;
  private onAnswering: () => void = () => undefined;
  private onClosed: () => void = () => undefined;

  /**
   * @param arrivedAt On this process's monotonic clock, milliseconds.
   * @param unseenMilliseconds How long it is likely to have waited before that.
   * @param endsConnection Whether the connection ends with the answer; asked when the
   *     answer begins.
   * @param isFirst Whether no request came on its connection before it.
   */
  constructor(
    private readonly dialect: Dialect,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    readonly arrivedAt: number,
    readonly unseenMilliseconds: number,
    private readonly endsConnection: () => boolean = () => false,
    readonly isFirst = false,
  ) {
    response.sendDate = false;
    response.on('error', () => {
      // A write that comes after the caller has gone; without a listener it would
      // end the process.
      this.left.abort();
    });
    const {socket} = request;
    const onEnd = () => {
      // The response closes some turns of the event loop later.
      this.left.abort();
    };
    let isOpen = true;
    const onClose = () => {
      if (!isOpen) {
        return;
      }
      isOpen = false;
      socket.off('end', onEnd);
      socket.off('close', onClose);
      if (!response.writableFinished) {
        this.left.abort();
      }
      this.onClosed();
    };
    socket.once('end', onEnd);
    // A response that waits behind another on its connection does not close with it.
    socket.once('close', onClose);
    response.once('close', onClose);
  }

  get headers(): CallerHeaders {
    this.parsed ??= this.dialect.callerHeaders(this.request.rawHeaders);
    return this.parsed;
  }

  /** Part of the target before the query. */
  get path(): string {
    return this.target.split('?', 1)[0] ?? '';
  }

  /** When its first byte came, as far as is known, on the monotonic clock. */
  get cameAt(): number {
    return this.arrivedAt - this.unseenMilliseconds;
  }

  get method(): string {
    return this.request.method ?? 'GET';
  }

  /** Path and query as they came. */
  get target(): string {
    return this.request.url ?? '/';
  }

  get rawHeaders(): readonly string[] {
    return this.request.rawHeaders;
  }

  /** Bytes of the request's line and headers, as the protocol spells them. */
  get headerBytes(): number {
    const line = this.method.length + this.target.length + LINE_BYTES;
    return this.rawHeaders.reduce(
      (sum, text) => sum + Buffer.byteLength(text, 'latin1') + SEPARATOR_BYTES,
      line,
    );
  }

  /** Aborted when the caller leaves before its answer is whole. */
  get leaving(): AbortSignal {
    return this.left.signal;
  }

  /** Calls the listener, in place of one before it, when an answer begins. */
  whenAnswering(listener: () => void): void {
    this.onAnswering = listener;
  }

  /** Calls the listener, in place of one before it, when no more can be sent to it. */
  whenClosed(listener: () => void): void {
    this.onClosed = listener;
  }

  /** True once any byte of an answer was given to the connection. */
  get isAnswering(): boolean {
    return this.response.headersSent;
  }

  /**
   * Lets a close be read that stands behind the request. Load: callers of one
   * organisation send six times their usual to a host, which reads requests over a
   * second late. Harm without it: requests go to endpoints after their callers have
   * given up, and keep the host busy for nothing.
   *
   * The system tells of a close in the turn of the event loop after the one that
   * read the request; the second turn from here comes after it.
   */
  async closeSeen(): Promise<void> {
    while (this.turnsSinceRead < CLOSE_TURNS) {
      await turnOfEventLoop();
      this.turnsSinceRead++;
    }
  }

  /**
   * Whether it may be begun without missing a close that stands behind it; to be asked
   * once in each turn of the event loop. Behind a body that still comes, the close is
   * waited for when the body has been read.
   */
  mayBegin(): boolean {
    if (!this.request.complete) {
      return true;
    }
    this.turnsSinceRead++;
    return this.turnsSinceRead >= CLOSE_TURNS;
  }

  /**
   * Reads the whole body.
   *
   * @returns Undefined where the request has none, as told by its framing.
   * @throws BodyTooLargeError
   */
  async readBody(limitBytes: number): Promise<Buffer | undefined> {
    const {headers} = this.request;
    if (
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined
    ) {
      return undefined;
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of this.request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > limitBytes) {
        throw new BodyTooLargeError();
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  }

  /** Tells the caller to use the connection for nothing more. */
  closeAfterwards(): void {
    this.response.shouldKeepAlive = false;
  }

  /** Answers with a whole body. */
  answer(status: number, headers: readonly string[], body: Buffer): void {
    const framed = [...headers, 'Content-Length', String(body.length)];
    this.begin(status, framed);
    this.response.end(body);
  }

  /**
   * Answers with a body whose end is the connection's end, as the endpoint did. A
   * length of our own would vouch for a body that may have been cut on the way.
   */
  answerUntilClose(
    status: number,
    headers: readonly string[],
    body: Buffer,
  ): void {
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
    this.begin(status, [...headers]);
    this.response.end(body);
  }

  /** An answer of the system's own, without an endpoint's proof. */
  answerOwn(own: OwnAnswer): void {
    const {status, reason, retryAfterMilliseconds} = own;
    const headers = ['Content-Type', 'application/problem+json'];
    if (retryAfterMilliseconds !== undefined) {
      headers.push(...this.dialect.retryHeaders(retryAfterMilliseconds));
    }
    const body = Buffer.from(JSON.stringify({status, title: reason}));
    this.answer(status, headers, body);
  }

  /** Begins a stream; its length is not known. */
  beginStream(status: number, headers: readonly string[]): void {
    this.begin(status, [...headers]);
    this.response.flushHeaders();
  }

  /**
   * Writes a part of the stream.
   *
   * @returns Where the caller does not read: resolves when more may be written.
   */
  write(bytes: Buffer): Promise<void> | undefined {
    if (this.response.write(bytes) || this.left.signal.aborted) {
      return undefined;
    }
    return new Promise<void>(resolve => {
      const done = () => {
        this.response.off('drain', done);
        this.response.off('close', done);
        resolve();
      };
      this.response.once('drain', done);
      this.response.once('close', done);
    });
  }

  /** Ends a stream that is whole. */
  endStream(): void {
    this.response.end();
  }

  private begin(status: number, headers: string[]): void {
    if (this.endsConnection()) {
      this.closeAfterwards();
    }
    this.response.writeHead(status, headers);
    this.onAnswering();
  }

  /** Breaks the connection off, so that a part can't be taken for the whole. */
  breakOff(): void {
    this.response.destroy();
  }
}

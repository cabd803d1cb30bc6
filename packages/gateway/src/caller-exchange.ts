import type {IncomingMessage, ServerResponse} from 'node:http';
import {finished} from 'node:stream/promises';

import type {CallerHeaders, Dialect} from './dialect.js';
import {nextEventLoopTurn} from './event-loop.js';
import {HeldKind, InputAccount, type HeldBytes} from './input-memory/index.js';
import type {LocalReply} from './local-reply.js';
import {RequestProgress} from './open-requests/request-progress.js';

/** Two spaces, `HTTP/1.1` and a line end of the request line. */
const REQUEST_LINE_OVERHEAD_BYTES = 12;
/**
 * The colon and space after a header name, and the line end after its value.
 */
const HEADER_SEPARATOR_BYTES = 2;

/**
 * Event loop turns after which a connection close that follows a request has
 * been read.
 */
const CLOSE_DETECTION_TURNS = 2;

/** Thrown when a caller's body exceeds the limit. */
export class BodyTooLargeError extends Error {
  override readonly name: string = 'BodyTooLargeError';
}

/** Thrown when a caller's body is given up because the process has no room for it. */
export class BodyEndedError extends Error {
  override readonly name: string = 'BodyEndedError';
}

/** Number of exchanges that have held bytes; names their sources. */
let sourceCount = 0;

/** One request of a caller, and the means to answer it. */
export class CallerExchange {
  /** How far the request has come. */
  readonly progress = new RequestProgress();
  private readonly disconnect = new AbortController();
  private parsed: CallerHeaders | undefined;
  private turnsSinceRead = 0;
  private onAnswering: () => void = () => undefined;
  private onClosed: () => void = () => undefined;
  private sourceName: string | undefined;
  private heldBody: HeldBytes | undefined;
  private unread: HeldBytes | undefined;
  private isClosed = false;

  /**
   * @param arrivedAt When the request was read, on this process's monotonic
   *     clock, milliseconds.
   * @param unseenMilliseconds Estimated time that the request waited in its
   *     socket before that.
   * @param shouldCloseConnection Whether the connection closes after the
   *     answer; called when the answer begins.
   * @param isFirst Whether this is the first request on its connection.
   * @param account Counts what is held of the request and of its answer.
   */
  constructor(
    private readonly dialect: Dialect,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    readonly arrivedAt: number,
    readonly unseenMilliseconds: number,
    private readonly shouldCloseConnection: () => boolean = () => false,
    readonly isFirst = false,
    private readonly account = new InputAccount(),
  ) {
    response.sendDate = false;
    response.on('error', () => {
      // A write after the caller has disconnected fails here; without a
      // listener the error would end the process.
      this.disconnect.abort();
    });
    const {socket} = request;
    const onEnd = () => {
      // The response only closes some event loop turns after the socket's end.
      this.disconnect.abort();
    };
    const onClose = () => {
      if (this.isClosed) {
        return;
      }
      this.isClosed = true;
      socket.off('end', onEnd);
      socket.off('close', onClose);
      if (!response.writableFinished) {
        this.disconnect.abort();
      }
      this.heldBody?.close();
      this.unread?.close();
      this.onClosed();
    };
    socket.once('end', onEnd);
    // A response queued behind another one on its connection does not close
    // with the connection.
    socket.once('close', onClose);
    response.once('close', onClose);
  }

  get headers(): CallerHeaders {
    this.parsed ??= this.dialect.callerHeaders(this.request.rawHeaders);
    return this.parsed;
  }

  /** The request target without the query. */
  get path(): string {
    return this.target.split('?', 1)[0] ?? '';
  }

  /**
   * Estimated arrival of the first byte, on the monotonic clock, milliseconds.
   */
  get estimatedArrivalAt(): number {
    return this.arrivedAt - this.unseenMilliseconds;
  }

  get method(): string {
    return this.request.method ?? 'GET';
  }

  /** Path and query as received. */
  get target(): string {
    return this.request.url ?? '/';
  }

  get rawHeaders(): readonly string[] {
    return this.request.rawHeaders;
  }

  /** Size of the request line and headers as sent in HTTP/1.1. */
  get headerBytes(): number {
    const line =
      this.method.length + this.target.length + REQUEST_LINE_OVERHEAD_BYTES;
    return this.rawHeaders.reduce(
      (sum, text) =>
        sum + Buffer.byteLength(text, 'latin1') + HEADER_SEPARATOR_BYTES,
      line,
    );
  }

  /** Aborted when the caller disconnects before its answer is complete. */
  get disconnectSignal(): AbortSignal {
    return this.disconnect.signal;
  }

  /**
   * Sets the listener that is called when an answer begins, replacing any
   * earlier one.
   */
  setAnswerListener(listener: () => void): void {
    this.onAnswering = listener;
  }

  /**
   * Sets the listener that is called when nothing more can be sent to the
   * caller, replacing any earlier one.
   */
  setCloseListener(listener: () => void): void {
    this.onClosed = listener;
  }

  /** Whether any byte of an answer was written to the connection. */
  get isAnswering(): boolean {
    return this.response.headersSent;
  }

  /**
   * Waits until a connection close that follows the request has been read. When
   * the callers of one organisation send six times their usual load to a host,
   * it reads requests more than a second late. Without this wait, requests
   * would go to endpoints after their callers have given up, and keep the host
   * busy for nothing.
   *
   * The operating system reports a close in the event loop turn after the one
   * that read the request; the second turn from here comes after it.
   */
  async waitForCloseDetection(): Promise<void> {
    while (this.turnsSinceRead < CLOSE_DETECTION_TURNS) {
      await nextEventLoopTurn();
      this.turnsSinceRead++;
    }
  }

  /**
   * Whether the request can start without missing a connection close that
   * follows it; must be called once in each event loop turn. For a request
   * whose body is still being received, the close is awaited after the body has
   * been read.
   */
  canBegin(): boolean {
    if (!this.request.complete) {
      return true;
    }
    this.turnsSinceRead++;
    return this.turnsSinceRead >= CLOSE_DETECTION_TURNS;
  }

  /**
   * Reads the complete body.
   *
   * @returns Undefined if the request has no body according to its framing
   *     headers.
   * @throws BodyTooLargeError if the body is longer than `limitBytes`.
   * @throws BodyEndedError if the process has no room for it.
   */
  readBody(limitBytes: number): Promise<Buffer | undefined> {
    const {headers} = this.request;
    if (
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined
    ) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      const held = this.account.hold(HeldKind.RequestBody, this.source, () => {
        chunks.length = 0;
        reject(new BodyEndedError());
      });
      this.heldBody = held;
      this.receiveBody(chunks, held, limitBytes).then(resolve, reject);
    });
  }

  /** Receives the body to its end, and discards what comes once it was given up. */
  private async receiveBody(
    chunks: Buffer[],
    held: HeldBytes,
    limitBytes: number,
  ): Promise<Buffer> {
    let bytes = 0;
    for await (const chunk of this.request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > limitBytes) {
        if (held.isClosed) {
          // Its request was answered; the rest must not be read as another one.
          this.request.socket.destroy();
        }
        throw new BodyTooLargeError();
      }
      if (!held.isClosed) {
        chunks.push(chunk);
        held.addPart(chunk.length);
      }
    }
    held.set(bytes);
    held.complete();
    return Buffer.concat(chunks);
  }

  /** Receives the rest of the body and discards it. */
  async discardBody(): Promise<void> {
    if (!this.request.complete) {
      await finished(this.request.resume());
    }
  }

  /**
   * Closes the connection after this answer, and announces that in its headers.
   */
  disableKeepAlive(): void {
    this.response.shouldKeepAlive = false;
  }

  /**
   * Keeps the connection open after an answer that comes before the end of the
   * request's body. Closing it would reset it before the caller has read the answer.
   */
  keepWhileReceiving(): void {
    if (!this.request.complete) {
      this.response.shouldKeepAlive = true;
    }
  }

  /** Sends an answer with a complete body and its length. */
  answer(status: number, headers: readonly string[], body: Buffer): void {
    const framed = [...headers, 'Content-Length', String(body.length)];
    this.writeHead(status, framed);
    this.response.end(body);
    this.countUnread();
  }

  /**
   * Sends an answer without a length, ended by closing the connection, as the
   * endpoint did. A length set here would assert that the body is complete,
   * although it may have been cut on the way.
   */
  answerUntilClose(
    status: number,
    headers: readonly string[],
    body: Buffer,
  ): void {
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
    this.writeHead(status, [...headers]);
    this.response.end(body);
    this.countUnread();
  }

  /** Sends a reply that the gateway generates, without an endpoint's proof. */
  sendLocalReply(reply: LocalReply): void {
    const {status, reason, retryAfterMilliseconds} = reply;
    const headers = ['Content-Type', 'application/problem+json'];
    if (retryAfterMilliseconds !== undefined) {
      headers.push(...this.dialect.retryHeaders(retryAfterMilliseconds));
    }
    const body = Buffer.from(JSON.stringify({status, title: reason}));
    this.answer(status, headers, body);
  }

  /** Starts a stream of unknown length. */
  beginStream(status: number, headers: readonly string[]): void {
    this.writeHead(status, [...headers]);
    this.response.flushHeaders();
  }

  /**
   * Writes a part of the stream.
   *
   * @returns A promise that resolves when more may be written, if the caller
   *     reads too slowly; undefined otherwise.
   */
  write(bytes: Buffer): Promise<void> | undefined {
    if (this.response.write(bytes) || this.disconnect.signal.aborted) {
      return undefined;
    }
    this.countUnread();
    return new Promise<void>(resolve => {
      const done = () => {
        this.countUnread();
        this.response.off('drain', done);
        this.response.off('close', done);
        resolve();
      };
      this.response.once('drain', done);
      this.response.once('close', done);
    });
  }

  /** Ends a complete stream. */
  endStream(): void {
    this.response.end();
  }

  /** Counts what the caller has not read yet, beyond what the system holds. */
  private countUnread(): void {
    if (this.isClosed) {
      return;
    }
    const bytes = this.response.writableLength;
    if (bytes > 0 || this.unread !== undefined) {
      this.unread ??= this.account.hold(
        HeldKind.UnreadAnswer,
        this.source,
        () => {
          this.destroyConnection();
        },
      );
      this.unread.set(bytes);
    }
  }

  /** One exchange, as the balancer or an organisation may hide many callers. */
  private get source(): string {
    this.sourceName ??= `caller ${++sourceCount}`;
    return this.sourceName;
  }

  private writeHead(status: number, headers: string[]): void {
    if (this.shouldCloseConnection()) {
      this.disableKeepAlive();
    }
    this.response.writeHead(status, headers);
    this.onAnswering();
  }

  /**
   * Destroys the connection, so that a partial answer can't be taken for a
   * complete one.
   */
  destroyConnection(): void {
    this.response.destroy();
  }
}

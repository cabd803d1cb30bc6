import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Counts of callers' connections and of the requests and answers on them. */
export interface ConnectionCounts {
  /** Connections that are open. */
  readonly connections: number;
  /** Of those, the connections on which nothing is in progress. */
  readonly idle: number;
  /** Of those, the connections on which part of a request head was read. */
  readonly partialRequests: number;
  /** Requests whose answer has not ended. */
  readonly runningRequests: number;
  /**
   * Ended answers whose bytes have not all been handed to the operating system.
   */
  readonly unsentAnswers: number;
}

/**
 * How long a draining server waits for the first request on a new connection.
 * Callers send it as soon as they connect; with a shorter wait the connection
 * is reset while the request is on its way.
 */
const FIRST_REQUEST_TIMEOUT_MILLISECONDS = 500;
/**
 * How long a draining connection waits for the rest of a partial request head.
 */
const HEAD_TIMEOUT_MILLISECONDS = 1_000;
const REQUEST_TIMEOUT_RESPONSE =
  'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/**
 * How long a draining connection receives the rest of a body whose request was
 * answered before, milliseconds.
 */
const BODY_REST_MILLISECONDS = 500;

/**
 * One caller's connection. Callers do not pipeline: they send no second request
 * before the first is answered.
 */
class CallerConnection {
  readonly answers = new Set<ServerResponse>();
  private readonly openedAt = performance.now();
  private isDraining = false;
  private hasTimedOut = false;
  private timer: NodeJS.Timeout | undefined;
  /** Whether the last answer closed before the body of its request was complete. */
  private isInBody = false;
  /**
   * Bytes read from the socket when the last answer closed; undefined before
   * the first.
   */
  private bytesReadAtLastAnswer: number | undefined;

  constructor(readonly socket: Socket) {
    socket.once('close', () => {
      clearTimeout(this.timer);
    });
  }

  /**
   * @returns False if no answer can be sent on this connection, so that the
   *     request must not be served.
   */
  add(request: IncomingMessage, response: ServerResponse): boolean {
    const closesBefore = [...this.answers].some(
      ({shouldKeepAlive}) => !shouldKeepAlive,
    );
    if (this.hasTimedOut || closesBefore) {
      return false;
    }
    clearTimeout(this.timer);
    this.isInBody = false;
    this.answers.add(response);
    response.once('close', () => {
      this.answers.delete(response);
      this.bytesReadAtLastAnswer = this.socket.bytesRead;
      this.isInBody = !request.complete;
      this.closeIfIdle();
    });
    return true;
  }

  /** Whether no request or answer is in progress on the connection. */
  get isIdle(): boolean {
    return this.answers.size === 0 && !this.isInBody && !this.hasPartialHead;
  }

  /** Whether a request head was read in part but not completely. */
  get hasPartialHead(): boolean {
    const bytesBefore = this.bytesReadAtLastAnswer ?? 0;
    return (
      this.answers.size === 0 &&
      !this.isInBody &&
      this.socket.bytesRead > bytesBefore
    );
  }

  /**
   * Makes the last answer announce that the connection closes, if its headers
   * were not sent yet.
   */
  announceClose(): void {
    const last = [...this.answers].at(-1);
    if (last?.headersSent === false) {
      last.shouldKeepAlive = false;
    }
  }

  /**
   * Closes the connection as soon as no request or answer is in progress on it.
   */
  drain(): void {
    this.isDraining = true;
    this.closeIfIdle();
  }

  private closeIfIdle(): void {
    if (!this.isDraining || this.answers.size > 0) {
      return;
    }
    const firstTimeoutAt = this.openedAt + FIRST_REQUEST_TIMEOUT_MILLISECONDS;
    const firstRequestMillisecondsLeft = firstTimeoutAt - performance.now();
    if (this.isInBody) {
      // Destroying it now would reset it before the caller has read the answer.
      this.socket.end();
      this.schedule(BODY_REST_MILLISECONDS, () => {
        this.socket.destroy();
      });
    } else if (this.hasPartialHead) {
      this.schedule(HEAD_TIMEOUT_MILLISECONDS, () => {
        this.rejectLateHead();
      });
    } else if (
      this.bytesReadAtLastAnswer === undefined &&
      firstRequestMillisecondsLeft > 0
    ) {
      this.schedule(firstRequestMillisecondsLeft, () => {
        this.closeIfIdle();
      });
    } else {
      this.socket.destroy();
    }
  }

  /**
   * Answers 408 to an incomplete request head; that request was never served.
   */
  private rejectLateHead(): void {
    this.hasTimedOut = true;
    this.socket.end(REQUEST_TIMEOUT_RESPONSE, () => {
      this.socket.destroy();
    });
  }

  private schedule(milliseconds: number, call: () => void): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(call, milliseconds);
  }
}

/**
 * Tracks what is in progress on each caller's connection, and drains the
 * connections.
 */
export class CallerConnections {
  private readonly open = new Map<Socket, CallerConnection>();
  private onAllClosed: (() => void) | undefined;

  constructor(server: Server) {
    server.on('connection', socket => {
      this.open.set(socket, new CallerConnection(socket));
      socket.once('close', () => {
        this.remove(socket);
      });
    });
  }

  /**
   * Registers a request whose head is complete.
   *
   * @returns False if the caller was already told that the request came too
   *     late, or that an earlier answer closes the connection; the request must
   *     not be served.
   */
  begin(request: IncomingMessage, response: ServerResponse): boolean {
    return this.open.get(request.socket)?.add(request, response) ?? false;
  }

  /**
   * Whether the connection can close after this answer, which must be the only
   * thing in progress on it. Another request on it would get no answer, and a
   * body that is still being received would reset the connection before the
   * caller has read the answer.
   *
   * @example
   * ```ts
   * response.shouldKeepAlive = !connections.canCloseAfter(request, response);
   * ```
   */
  canCloseAfter(request: IncomingMessage, response: ServerResponse): boolean {
    const answers = this.open.get(request.socket)?.answers;
    return request.complete && answers?.size === 1 && answers.has(response);
  }

  /** Current counts. */
  get counts(): ConnectionCounts {
    const connections = [...this.open.values()];
    const answers = connections.flatMap(({answers}) => [...answers]);
    const unsentAnswers = answers.filter(
      ({writableEnded}) => writableEnded,
    ).length;
    return {
      connections: connections.length,
      idle: connections.filter(({isIdle}) => isIdle).length,
      partialRequests: connections.filter(({hasPartialHead}) => hasPartialHead)
        .length,
      runningRequests: answers.length - unsentAnswers,
      unsentAnswers,
    };
  }

  /** Makes pending answers tell their callers to use another connection. */
  announceClose(): void {
    for (const connection of this.open.values()) {
      connection.announceClose();
    }
  }

  /**
   * Closes each connection as soon as no request or answer is in progress on
   * it. The server must not accept new connections any more.
   *
   * @returns Resolves when all connections are closed.
   */
  async drain(): Promise<void> {
    for (const connection of this.open.values()) {
      connection.drain();
    }
    if (this.open.size > 0) {
      await new Promise<void>(resolve => {
        this.onAllClosed = resolve;
      });
    }
  }

  private remove(socket: Socket): void {
    this.open.delete(socket);
    if (this.open.size === 0) {
      this.onAllClosed?.();
    }
  }
}

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** What callers' connections are in the middle of. */
export interface ConnectionCounts {
  /** Connections that are open. */
  readonly connections: number;
  /** Of those, the ones with a part of a request's head. */
  readonly begunRequests: number;
  /** Requests whose answer has not ended. */
  readonly runningRequests: number;
  /** Answers that have ended and are not yet wholly with the system. */
  readonly unsentAnswers: number;
}

/**
 * A caller that opens a connection sends its request at once. Harm of less: it is
 * reset with its request on the way.
 */
const FIRST_REQUEST_MILLISECONDS = 500;
/** The rest of a head that has begun may take so long while its connection drains. */
const HEAD_MILLISECONDS = 1_000;
const HEAD_TOO_LATE =
  'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** One connection; callers send no second request before the first is answered. */
class CallerConnection {
  readonly answers = new Set<ServerResponse>();
  private readonly openedAt = performance.now();
  private isDraining = false;
  private isRefused = false;
  private timer: NodeJS.Timeout | undefined;
  /** What had been read when the last request was over; undefined before the first. */
  private settledBytes: number | undefined;

  constructor(readonly socket: Socket) {
    socket.once('close', () => {
      clearTimeout(this.timer);
    });
  }

  /** @returns False where no answer to it can be sent: it must not be served. */
  add(response: ServerResponse): boolean {
    const endsBefore = [...this.answers].some(
      ({shouldKeepAlive}) => !shouldKeepAlive,
    );
    if (this.isRefused || endsBefore) {
      return false;
    }
    clearTimeout(this.timer);
    this.answers.add(response);
    response.once('close', () => {
      this.answers.delete(response);
      this.settledBytes = this.socket.bytesRead;
      this.endIfQuiet();
    });
    return true;
  }

  /** Whether a part of a request's head was read, and not all of it. */
  get hasBegun(): boolean {
    const settled = this.settledBytes ?? 0;
    return this.answers.size === 0 && this.socket.bytesRead > settled;
  }

  /** Its last answer says that the connection ends, if it says nothing yet. */
  announceEnd(): void {
    const last = [...this.answers].at(-1);
    if (last?.headersSent === false) {
      last.shouldKeepAlive = false;
    }
  }

  /** Ends it as soon as nothing of a request or an answer is on it. */
  drain(): void {
    this.isDraining = true;
    this.endIfQuiet();
  }

  private endIfQuiet(): void {
    if (!this.isDraining || this.answers.size > 0) {
      return;
    }
    const firstEndsAt = this.openedAt + FIRST_REQUEST_MILLISECONDS;
    const waitsForFirst = firstEndsAt - performance.now();
    if (this.hasBegun) {
      this.after(HEAD_MILLISECONDS, () => {
        this.refuse();
      });
    } else if (this.settledBytes === undefined && waitsForFirst > 0) {
      this.after(waitsForFirst, () => {
        this.endIfQuiet();
      });
    } else {
      this.socket.destroy();
    }
  }

  /** Nobody has seen the request: it has not run. */
  private refuse(): void {
    this.isRefused = true;
    this.socket.end(HEAD_TOO_LATE, () => {
      this.socket.destroy();
    });
  }

  private after(milliseconds: number, call: () => void): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(call, milliseconds);
  }
}

/** Knows what each caller's connection is in the middle of, and ends them in order. */
export class CallerConnections {
  private readonly open = new Map<Socket, CallerConnection>();
  private onNone: (() => void) | undefined;

  constructor(server: Server) {
    server.on('connection', socket => {
      this.open.set(socket, new CallerConnection(socket));
      socket.once('close', () => {
        this.remove(socket);
      });
    });
  }

  /**
   * A request's head has ended.
   *
   * @returns False where the caller was told that it came too late, or that the
   *     connection ends with an answer before: the request must not be served.
   */
  begin(request: IncomingMessage, response: ServerResponse): boolean {
    return this.open.get(request.socket)?.add(response) ?? false;
  }

  /**
   * Whether a connection can end with this answer: nothing else is on it. Another
   * request on it would get no answer, and a body that still comes resets the
   * connection before the caller has read the answer.
   *
   * @example
   * ```ts
   * response.shouldKeepAlive = !connections.mayEndWith(request, response);
   * ```
   */
  mayEndWith(request: IncomingMessage, response: ServerResponse): boolean {
    const answers = this.open.get(request.socket)?.answers;
    return request.complete && answers?.size === 1 && answers.has(response);
  }

  /** What they are in the middle of now. */
  get counts(): ConnectionCounts {
    const connections = [...this.open.values()];
    const answers = connections.flatMap(({answers}) => [...answers]);
    const unsentAnswers = answers.filter(
      ({writableEnded}) => writableEnded,
    ).length;
    return {
      connections: connections.length,
      begunRequests: connections.filter(({hasBegun}) => hasBegun).length,
      runningRequests: answers.length - unsentAnswers,
      unsentAnswers,
    };
  }

  /** Callers that wait for an answer are told with it to use another connection. */
  announceEnd(): void {
    for (const connection of this.open.values()) {
      connection.announceEnd();
    }
  }

  /**
   * Ends each connection as soon as nothing of a request or an answer is on it. New
   * ones must not come any more.
   *
   * @returns Resolves when there is none left.
   */
  async drain(): Promise<void> {
    for (const connection of this.open.values()) {
      connection.drain();
    }
    if (this.open.size > 0) {
      await new Promise<void>(resolve => {
        this.onNone = resolve;
      });
    }
  }

  private remove(socket: Socket): void {
    this.open.delete(socket);
    if (this.open.size === 0) {
      this.onNone?.();
    }
  }
}

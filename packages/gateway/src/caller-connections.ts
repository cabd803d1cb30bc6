import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** What happened to a connection for which a host has no room, as a metric's label. */
export enum RoomMeasure {
  /** An idle connection was closed for a new one. */
  Closed = 'closed',
  /** A new connection was closed, as none was idle for long. */
  Refused = 'refused',
}

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
/** Time without a request before a connection that had one is closed to make room. */
const MINIMUM_IDLE_MILLISECONDS = 2_000;
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
  private lastAnswerAt: number | undefined;
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
      this.lastAnswerAt = performance.now();
      this.isInBody = !request.complete;
      this.closeIfIdle();
    });
    return true;
  }

  /** Whether no request or answer is in progress on the connection. */
  get isIdle(): boolean {
    return this.answers.size === 0 && !this.isInBody && !this.hasPartialHead;
  }

  /**
   * From when on the connection may be closed to make room, as its caller is not about to
   * send a request; monotonic clock, milliseconds.
   */
  get closableFrom(): number {
    return this.lastAnswerAt === undefined
      ? this.openedAt + FIRST_REQUEST_TIMEOUT_MILLISECONDS
      : this.lastAnswerAt + MINIMUM_IDLE_MILLISECONDS;
  }

  /** Closes the connection, unless something has been received on it meanwhile. */
  closeUnlessRead(onRead: () => void): void {
    closeUnlessRead(this.socket, onRead);
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
  /** Idle connections that are about to be closed. */
  private readonly leaving = new Set<CallerConnection>();
  private room: () => number = () => Infinity;
  private onNoRoom: (measure: RoomMeasure) => void = () => undefined;
  private onAllClosed: (() => void) | undefined;

  constructor(server: Server) {
    server.on('connection', socket => {
      const connection = new CallerConnection(socket);
      this.open.set(socket, connection);
      socket.once('close', () => {
        this.leaving.delete(connection);
        this.remove(socket);
      });
      this.makeRoomFor(socket);
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
    const isOpen = this.open.get(request.socket)?.add(request, response);
    this.closeIdleBeyondRoom();
    return isOpen ?? false;
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

  /**
   * Limits the number of connections. Beyond it, those that have been idle for longest are
   * closed; if none has been for long, a new one is. Any other goes on.
   *
   * @param room The limit at the moment.
   * @param onNoRoom Called whenever a connection is closed for want of room.
   */
  limitTo(room: () => number, onNoRoom: (measure: RoomMeasure) => void): void {
    this.room = room;
    this.onNoRoom = onNoRoom;
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

  private get isBeyondRoom(): boolean {
    return this.open.size - this.leaving.size > this.room();
  }

  private makeRoomFor(added: Socket): void {
    this.closeIdleBeyondRoom();
    if (this.isBeyondRoom) {
      added.destroy();
      this.onNoRoom(RoomMeasure.Refused);
    }
  }

  private closeIdleBeyondRoom(): void {
    while (this.isBeyondRoom) {
      const idle = this.longestIdle();
      if (idle === undefined) {
        return;
      }
      this.leaving.add(idle);
      idle.closeUnlessRead(() => this.leaving.delete(idle));
      this.onNoRoom(RoomMeasure.Closed);
    }
  }

  private longestIdle(): CallerConnection | undefined {
    let from = performance.now();
    let longest: CallerConnection | undefined;
    for (const connection of this.open.values()) {
      const {closableFrom, isIdle} = connection;
      if (closableFrom <= from && isIdle && !this.leaving.has(connection)) {
        longest = connection;
        from = closableFrom;
      }
    }
    return longest;
  }

  private remove(socket: Socket): void {
    this.open.delete(socket);
    if (this.open.size === 0) {
      this.onAllClosed?.();
    }
  }
}

/**
 * Closes a connection whose idle time has ended, unless a request has arrived meanwhile:
 * an event loop that was blocked runs expired timers before it reads sockets.
 *
 * @param onRead Called if a request has arrived.
 */
export function closeUnlessRead(
  socket: Socket,
  onRead: () => void = () => undefined,
): void {
  const {bytesRead} = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) {
      socket.destroy();
    } else {
      onRead();
    }
  });
}

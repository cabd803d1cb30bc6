import {chooseToClose, RoomChoice} from '@wisteriadeal/decisions';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** What happened to a connection for which a host has no room, as a metric's label. */
export enum RoomMeasure {
  /** An idle connection was closed for a new one. */
  Closed = 'closed',
  /** A new connection was closed, as none was idle for long. */
  Refused = 'refused',
}

/** Number of connections for which a host has room. */
export interface ConnectionRoom {
  /** Number at any time. */
  readonly minimum: number;
  /** Number at the moment. */
  readonly current: () => number;
  /**
   * Makes room for more, as nothing else can be closed.
   *
   * @returns For how many.
   */
  readonly increase: (count: number) => number;
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
  /** When it was accepted, or its last answer ended; monotonic clock, milliseconds. */
  private lastUsedAt = performance.now();
  private readonly openedAt = this.lastUsedAt;
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

  /** @param onIdle Called when the last answer has ended and nothing is in progress. */
  constructor(
    readonly socket: Socket,
    private readonly onIdle: (connection: CallerConnection) => void,
  ) {
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
      this.lastUsedAt = performance.now();
      this.isInBody = !request.complete;
      this.closeIfIdle();
      if (this.isIdle && !this.socket.destroyed) {
        this.onIdle(this);
      }
    });
    return true;
  }

  /** Whether no request or answer is in progress on the connection. */
  get isIdle(): boolean {
    return this.answers.size === 0 && !this.isInBody && !this.hasPartialHead;
  }

  /** Time since it was accepted or its last answer ended, milliseconds. */
  get idleMilliseconds(): number {
    return performance.now() - this.lastUsedAt;
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
  /** Connections on which nothing has been read, oldest first. */
  private readonly unused = new Set<CallerConnection>();
  /** Idle connections that had a request, the one idle for longest first. */
  private readonly idle = new Set<CallerConnection>();
  /** Connections that are about to be closed for want of room. */
  private readonly leaving = new Set<CallerConnection>();
  private room: ConnectionRoom = {
    minimum: Infinity,
    current: () => Infinity,
    increase: () => 0,
  };
  private onNoRoom: (measure: RoomMeasure) => void = () => undefined;
  private onAllClosed: (() => void) | undefined;

  constructor(server: Server) {
    server.on('connection', socket => {
      const connection = new CallerConnection(socket, idle => {
        this.idle.add(idle);
      });
      this.open.set(socket, connection);
      socket.once('close', () => {
        this.remove(connection);
      });
      if (this.closeBeyondRoom()) {
        this.unused.add(connection);
      } else {
        this.leaving.add(connection);
        socket.destroy();
        this.onNoRoom(RoomMeasure.Refused);
      }
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
    const connection = this.open.get(request.socket);
    if (connection === undefined) {
      return false;
    }
    this.unused.delete(connection);
    this.idle.delete(connection);
    const isOpen = connection.add(request, response);
    this.closeBeyondRoom();
    return isOpen;
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
   * Limits the number of connections. Beyond it, idle ones are closed as `chooseToClose`
   * says; if it chooses none, a new one is. Any other goes on.
   *
   * @param onNoRoom Called whenever a connection is closed for want of room.
   */
  limitTo(
    room: ConnectionRoom,
    onNoRoom: (measure: RoomMeasure) => void,
  ): void {
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

  /** Number of connections on which something is in progress. */
  get inUse(): number {
    const {open, leaving, unused, idle} = this;
    return open.size - leaving.size - unused.size - idle.size;
  }

  /** @returns Whether there is room for all connections that stay. */
  private closeBeyondRoom(): boolean {
    let count = this.open.size - this.leaving.size;
    if (count <= this.room.minimum) {
      return true;
    }
    const room = this.room.current();
    for (; count > room; count--) {
      const connection = this.connectionToClose(room);
      if (
        (connection === undefined || this.idle.has(connection)) &&
        count <= room + this.room.increase(count - room)
      ) {
        return true;
      }
      if (connection === undefined) {
        return false;
      }
      this.unused.delete(connection);
      this.idle.delete(connection);
      this.leaving.add(connection);
      connection.closeUnlessRead(() => this.leaving.delete(connection));
      this.onNoRoom(RoomMeasure.Closed);
    }
    return true;
  }

  private connectionToClose(room: number): CallerConnection | undefined {
    const unused = firstUnread(this.unused);
    const idle = firstUnread(this.idle);
    const choice = chooseToClose(
      {
        unused: this.unused.size,
        unusedMilliseconds: unused?.idleMilliseconds,
        idleMilliseconds: idle?.idleMilliseconds,
      },
      room,
    );
    switch (choice) {
      case RoomChoice.OldestUnused:
        return unused;
      case RoomChoice.LongestIdle:
        return idle;
      case RoomChoice.None:
        return undefined;
    }
  }

  private remove(connection: CallerConnection): void {
    this.unused.delete(connection);
    this.idle.delete(connection);
    this.leaving.delete(connection);
    this.open.delete(connection.socket);
    if (this.open.size === 0) {
      this.onAllClosed?.();
    }
  }
}

/** The first one on which no part of a request was read; removes those before it. */
function firstUnread(
  connections: Set<CallerConnection>,
): CallerConnection | undefined {
  for (const connection of connections) {
    if (connection.isIdle) {
      return connection;
    }
    connections.delete(connection);
  }
  return undefined;
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

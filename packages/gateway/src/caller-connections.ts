import type {Server, ServerResponse} from 'node:http';
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

/** One connection; callers send no second request before the first is answered. */
class CallerConnection {
  readonly answers = new Set<ServerResponse>();
  private isDraining = false;
  /** What had been read when the last request was over. */
  private settledBytes = 0;

  constructor(readonly socket: Socket) {}

  add(response: ServerResponse): void {
    this.answers.add(response);
    response.once('close', () => {
      this.answers.delete(response);
      this.settledBytes = this.socket.bytesRead;
      this.endIfQuiet();
    });
  }

  /** Whether a part of a request's head was read, and not all of it. */
  get hasBegun(): boolean {
    return this.answers.size === 0 && this.socket.bytesRead > this.settledBytes;
  }

  /** Ends it as soon as nothing of a request or an answer is on it. */
  drain(): void {
    this.isDraining = true;
    this.endIfQuiet();
  }

  private endIfQuiet(): void {
    if (this.isDraining && this.answers.size === 0) {
      this.socket.destroy();
    }
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
    server.prependListener('request', (request, response) => {
      this.open.get(request.socket)?.add(response);
    });
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

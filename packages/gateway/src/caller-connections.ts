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
  /** What had been read when the last request was over. */
  private settledBytes = 0;

  constructor(readonly socket: Socket) {}

  add(response: ServerResponse): void {
    this.answers.add(response);
    response.once('close', () => {
      this.answers.delete(response);
      this.settledBytes = this.socket.bytesRead;
    });
  }

  /** Whether a part of a request's head was read, and not all of it. */
  get hasBegun(): boolean {
    return this.answers.size === 0 && this.socket.bytesRead > this.settledBytes;
  }
}

/** Knows what each caller's connection is in the middle of. */
export class CallerConnections {
  private readonly open = new Map<Socket, CallerConnection>();

  constructor(server: Server) {
    server.on('connection', socket => {
      this.open.set(socket, new CallerConnection(socket));
      socket.once('close', () => {
        this.open.delete(socket);
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
}

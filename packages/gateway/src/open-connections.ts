import type {Socket} from 'node:net';

import type {EndpointEntry} from './endpoint-entry.js';

/**
 * The open connections to endpoints. The process that accepted a connection is the one
 * that answers on it. While a connection is open, its endpoint has not ended, and those
 * that are opened meanwhile lead to the same process.
 */
export class OpenConnections {
  /** Since when what answers on each connection has been running, at the latest. */
  private readonly runningSince = new WeakMap<Socket, number>();
  private readonly sockets = new Map<string, Set<Socket>>();
  private readonly announcedEnds = new WeakSet<Socket>();

  /**
   * @param onLost Called when an endpoint has ended the last connection to it, without
   *     notice.
   */
  constructor(private readonly onLost: (endpoint: EndpointEntry) => void) {}

  /** Follows a new connection until it is closed. */
  opened(socket: Socket, endpoint: EndpointEntry): void {
    // Ends of other connections that have arrived before are handled first.
    setImmediate(() => {
      if (!socket.destroyed) {
        this.follow(socket, endpoint);
      }
    });
  }

  /**
   * Time since which what answers on a connection has been running, at the latest;
   * monotonic clock, milliseconds.
   */
  since(socket: Socket): number {
    return this.runningSince.get(socket) ?? performance.now();
  }

  /** Records that an endpoint has said that it closes a connection. */
  endAnnounced(socket: Socket): void {
    this.announcedEnds.add(socket);
  }

  /**
   * Time since which the process that holds the open connections to an endpoint has been
   * running, at the latest; monotonic clock, milliseconds. Undefined if none is open.
   */
  runningProcessSince(endpoint: EndpointEntry): number | undefined {
    const open = this.sockets.get(keyOf(endpoint));
    return open && Math.min(...[...open].map(socket => this.since(socket)));
  }

  private follow(socket: Socket, endpoint: EndpointEntry): void {
    const key = keyOf(endpoint);
    const open = this.sockets.get(key) ?? new Set();
    const since = this.runningProcessSince(endpoint) ?? performance.now();
    this.runningSince.set(socket, since);
    this.sockets.set(key, open.add(socket));
    const closed = (isEndedByEndpoint: boolean) => {
      if (!open.delete(socket) || open.size > 0) {
        return;
      }
      this.sockets.delete(key);
      if (isEndedByEndpoint && !this.announcedEnds.has(socket)) {
        this.onLost(endpoint);
      }
    };
    for (const event of ['end', 'error']) {
      socket.once(event, () => {
        closed(true);
      });
    }
    socket.once('close', () => {
      closed(false);
    });
  }
}

function keyOf({address, port}: EndpointEntry): string {
  return `${address}:${port}`;
}

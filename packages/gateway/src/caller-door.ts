import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

/** An address to listen on. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** Takes a request; `arrivedAt` is on the process's monotonic clock, milliseconds. */
export type RequestTaker = (
  request: IncomingMessage,
  response: ServerResponse,
  arrivedAt: number,
) => void;

interface WaitingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrivedAt: number;
}

/** Longest headers that are parsed at all; the configuration's limit is lower. */
const LONGEST_HEADER_BYTES = 65_536;
/** New connections that wait to be taken; a burst of callers comes at once. */
const BACKLOG = 1_024;

/**
 * Listens for callers before there is anybody to serve them. Load: all hosts lose
 * power, and callers come back while the processes load their libraries. Harm of
 * listening last: each of their connections is reset meanwhile, which costs the one
 * retry that most have; here they wait for the rest of the start.
 */
export class CallerDoor {
  readonly server: Server;
  private readonly waiting: WaitingRequest[] = [];
  private taker: RequestTaker | undefined;

  /** @param now The process's monotonic clock, milliseconds. */
  constructor(now: () => number) {
    this.server = createServer(
      {maxHeaderSize: LONGEST_HEADER_BYTES, noDelay: true},
      (request, response) => {
        this.take({request, response, arrivedAt: now()});
      },
    );
    // A request's own deadline bounds it; a long upload is no error.
    this.server.requestTimeout = 0;
  }

  /** Port that was taken; 0 before it listens. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /**
   * Listens, unless it does already.
   *
   * @throws The system's error where the address can't be taken.
   */
  async listen({address, port}: ListenAddress): Promise<void> {
    if (this.server.listening) {
      return;
    }
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host: address, port, backlog: BACKLOG}, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** From now on requests go there, those that waited first. */
  openTo(taker: RequestTaker): void {
    this.taker = taker;
    for (const {request, response, arrivedAt} of this.waiting.splice(0)) {
      taker(request, response, arrivedAt);
    }
  }

  /** Takes no new connections, and ends those that are idle. */
  stopListening(): void {
    this.server.close();
  }

  /** Ends all connections at once. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private take(arrived: WaitingRequest): void {
    if (this.taker === undefined) {
      this.waiting.push(arrived);
    } else {
      this.taker(arrived.request, arrived.response, arrived.arrivedAt);
    }
  }
}

/** Splits `IP:port`, which the settings' check has found to be well formed. */
export function listenAddress(text: string): ListenAddress {
  const colon = text.lastIndexOf(':');
  return {
    address: text.slice(0, colon),
    port: Number(text.slice(colon + 1)),
  };
}

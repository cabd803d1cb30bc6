import {Agent, request as sendRequest, type ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

import {
  IDLE_CONNECTION_MILLISECONDS,
  isNeverSentCode,
} from './connection-errors.js';
import {FreeLink, type HostLink} from './host-link.js';
import type {Exchange, ExchangeTimeouts, WholeAnswer} from './http-peer.js';
import {NetworkTimeout} from './network-timeout.js';
import {Fate, StepError} from './step-error.js';

/** A call that the caller is to make. */
export type HttpCall = Pick<
  Exchange,
  'step' | 'method' | 'path' | 'headers' | 'body'
> & {
  /** On a free link, milliseconds. */
  readonly timeouts: Required<Pick<ExchangeTimeouts, 'connect' | 'total'>>;
  /** The peer may hold its answer back for so long, beyond the limits; 0 by default. */
  readonly heldMilliseconds?: number;
  /** Of this host; it lengthens the limits, and is told what came when. */
  readonly link?: HostLink;
};

/** A connection that has gone silent is noticed, however full the host's link is. */
const LONGEST_DELAY_MILLISECONDS = 1_000;

/** A call exceeded one of its time limits. */
export class CallTimeoutError extends Error {
  override readonly name: string = 'CallTimeoutError';

  constructor(
    readonly isUnconnected: boolean,
    milliseconds: number,
  ) {
    const what = isUnconnected ? 'no connection' : 'no whole answer';
    super(`${what} within ${milliseconds} ms`);
  }
}

/** Whether a call of `HttpCaller` failed because it exceeded one of its time limits. */
export function isCallTimeout(error: unknown): boolean {
  return error instanceof StepError && error.cause instanceof CallTimeoutError;
}

/**
 * Calls one HTTP peer that every process asks many times a second: whole answers
 * only, over kept connections, and nothing is retried. `HttpPeer` does more, and
 * costs some times as much a call.
 */
export class HttpCaller {
  private readonly agent = new Agent({
    keepAlive: true,
    timeout: IDLE_CONNECTION_MILLISECONDS,
  });

  /**
   * @param host IP address.
   * @param peer Name of the peer in errors.
   */
  constructor(
    private readonly host: string,
    private readonly port: number,
    readonly peer: string,
  ) {}

  /**
   * Makes a call and reads its whole answer, whatever its status.
   *
   * @throws StepError with fate NotDone only where no connection was made.
   * @example
   * ```ts
   * const {status, body} = await caller.call({step: 'read', method: 'GET', …});
   * ```
   */
  async call(call: HttpCall): Promise<WholeAnswer> {
    const {method, path, headers, body} = call;
    const outgoing = sendRequest({
      agent: this.agent,
      host: this.host,
      port: this.port,
      method,
      path,
      headers: {...headers},
    });
    const answer = wholeAnswer(outgoing, call);
    outgoing.end(body);
    try {
      return await answer;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new StepError(call.step, this.peer, fateOf(error), reason, {
        cause: error,
      });
    }
  }

  /** Destroys every connection; calls in progress fail. */
  close(): void {
    this.agent.destroy();
  }
}

/**
 * The time limits of one call. While the host's link delays what comes in, they are
 * longer by the delay, and the answer's begins with its connection.
 */
class CallLimits {
  private readonly link: HostLink;
  private readonly delay: number;
  private readonly answer: NetworkTimeout;
  private connection: NetworkTimeout | undefined;
  /** The peer's next sign is awaited since then; undefined where none is. */
  private awaitedSince: number | undefined = performance.now();

  constructor(
    private readonly call: HttpCall,
    private readonly fail: (error: Error) => void,
  ) {
    const {timeouts, link = new FreeLink(), heldMilliseconds = 0} = call;
    this.link = link;
    this.delay = Math.min(LONGEST_DELAY_MILLISECONDS, link.delayMilliseconds);
    const total = timeouts.total + heldMilliseconds + this.delay;
    this.answer = new NetworkTimeout(total, () => {
      this.noteExpired(heldMilliseconds);
      fail(new CallTimeoutError(false, total));
    });
  }

  /** The connection is new. */
  connecting(socket: Socket): void {
    const limit = this.call.timeouts.connect + this.delay;
    this.connection = new NetworkTimeout(limit, () => {
      this.noteExpired(0);
      this.fail(new CallTimeoutError(true, limit));
    });
    socket.once('connect', () => {
      this.connection?.close();
      this.noteArrived();
      this.awaitedSince = performance.now();
      if (this.delay > 0) {
        this.answer.refresh();
      }
    });
    socket.once('close', () => {
      this.connection?.close();
    });
  }

  /** The answer begins. */
  answered(): void {
    if ((this.call.heldMilliseconds ?? 0) === 0) {
      this.noteArrived();
    }
    this.awaitedSince = undefined;
  }

  /** The call has ended. */
  close(): void {
    this.answer.close();
    this.connection?.close();
  }

  private noteArrived(): void {
    if (this.awaitedSince !== undefined) {
      this.link.arrived(performance.now() - this.awaitedSince);
    }
  }

  private noteExpired(heldMilliseconds: number): void {
    if (this.awaitedSince !== undefined) {
      const waited = performance.now() - this.awaitedSince;
      this.link.expired(waited - heldMilliseconds);
    }
  }
}

function wholeAnswer(
  outgoing: ClientRequest,
  call: HttpCall,
): Promise<WholeAnswer> {
  return new Promise((resolve, reject) => {
    const fail = (error: Error) => {
      limits.close();
      reject(error);
      outgoing.destroy();
    };
    const limits = new CallLimits(call, fail);
    outgoing.once('socket', socket => {
      if (socket.connecting) {
        limits.connecting(socket);
      }
    });
    outgoing.on('error', fail);
    outgoing.once('response', incoming => {
      limits.answered();
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      incoming.on('error', fail);
      incoming.once('end', () => {
        limits.close();
        const {statusCode = 0, headers} = incoming;
        resolve({status: statusCode, headers, body: Buffer.concat(chunks)});
      });
    });
  });
}

function fateOf(error: unknown): Fate {
  if (error instanceof CallTimeoutError) {
    return error.isUnconnected ? Fate.NotDone : Fate.Unknown;
  }
  const isNeverSent =
    error instanceof Error && 'code' in error && isNeverSentCode(error.code);
  return isNeverSent ? Fate.NotDone : Fate.Unknown;
}

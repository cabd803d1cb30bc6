import {
  Agent,
  request as sendRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';

import {
  KEEP_ALIVE_TIMEOUT_MILLISECONDS,
  onConnected,
} from './connection-errors.js';
import {UncongestedLink, type HostLink} from './host-link.js';
import type {
  BufferedResponse,
  Exchange,
  ExchangeTimeouts,
} from './http-peer.js';
import {INTERRUPTED_HEAD, isInterruptedHead} from './interrupted-head.js';
import {NetworkTimeout} from './network-timeout.js';
import {Fate, StepError} from './step-error.js';

/** A request with its timeouts. */
export type HttpCall = Pick<
  Exchange,
  'step' | 'method' | 'path' | 'headers' | 'body'
> & {
  /** Timeouts without congestion of the host's link, in milliseconds. */
  readonly timeouts: Required<Pick<ExchangeTimeouts, 'connect' | 'total'>>;
  /**
   * Milliseconds for which the peer may hold its response back (long polling), in
   * addition to the timeouts; 0 by default.
   */
  readonly longPollMilliseconds?: number;
  /** This host's link: its delay extends the timeouts, and measurements are recorded in it. */
  readonly link?: HostLink;
  /** Aborting it ends the call and its connection. */
  readonly signal?: AbortSignal | undefined;
  /** Called whenever a part of the body arrives. */
  readonly onProgress?: ((progress: ResponseProgress) => void) | undefined;
};

/** How much of a response has arrived. */
export interface ResponseProgress {
  readonly status: number;
  readonly receivedBytes: number;
  /** Size of the body; undefined if the peer did not announce it. */
  readonly totalBytes: number | undefined;
  /** The first part of the body. */
  readonly firstBytes: Buffer;
}

/**
 * Bound on the link delay that extends timeouts, so that a connection without traffic is
 * detected even while the host's link is full.
 */
const MAXIMUM_LINK_DELAY_MILLISECONDS = 1_000;
/**
 * Body bytes that restart the total timeout. One record of a megabyte takes longer than any
 * fixed timeout over a full link; a silent or trickling response still ends after one.
 */
const PROGRESS_BYTES = 16_384;
/** Maximum size of a body, which is held in memory; the store's are below 2 MB. */
const MAXIMUM_BODY_BYTES = 4_194_304;
/**
 * Maximum number of pieces in which a body arrives. Each chunk of a chunked body is one,
 * however small, and takes time and memory of its own.
 */
const MAXIMUM_BODY_PIECES = 16_384;
/** Maximum number of 1xx responses before a response. */
const MAXIMUM_INFORMATIONAL_RESPONSES = 16;

/** What did not come before a call's timeout. */
export enum MissingPart {
  Connection = 'connection',
  Response = 'response',
  /** The next part of a response whose head has arrived. */
  Body = 'part of the response',
}

/** A call exceeded its connect timeout, or the timeout of its response. */
export class CallTimeoutError extends Error {
  override readonly name: string = 'CallTimeoutError';

  constructor(
    readonly missing: MissingPart,
    milliseconds: number,
    receivedBytes = 0,
  ) {
    const received =
      missing === MissingPart.Body ? ` after ${receivedBytes} bytes` : '';
    super(`no ${missing} within ${milliseconds} ms${received}`);
  }
}

/** Whether a call failed because it exceeded one of its timeouts. */
export function isCallTimeout(error: unknown): boolean {
  return error instanceof StepError && error.cause instanceof CallTimeoutError;
}

/**
 * HTTP client for a peer that every process calls many times a second. It reads
 * responses into memory, reuses connections and never retries. `HttpPeer` has more
 * features, but a call costs several times as much.
 */
export class HttpClient {
  private readonly agent = new Agent({
    keepAlive: true,
    timeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
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
   * Sends a request and reads the complete response, whatever its status.
   *
   * @throws StepError with fate NotDone only if no connection was established.
   * @example
   * ```ts
   * const {status, body} = await client.call({step: 'read', method: 'GET', …});
   * ```
   */
  async call(call: HttpCall): Promise<BufferedResponse> {
    const {method, path, headers, body} = call;
    const outgoing = sendRequest({
      agent: this.agent,
      host: this.host,
      port: this.port,
      method,
      path,
      headers: {...headers},
    });
    let fate = Fate.NotDone;
    onConnected(outgoing, () => {
      fate = Fate.Unknown;
    });
    const response = readResponse(outgoing, call);
    outgoing.end(body);
    try {
      return await response;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new StepError(call.step, this.peer, fate, reason, {
        cause: error,
      });
    }
  }

  /** Closes every connection; calls in progress fail. */
  close(): void {
    this.agent.destroy();
  }
}

/**
 * The timeouts of one call: of the connection, of the response head, and of each further
 * part of the body. While the host's link delays inbound data, all are extended by the
 * delay, and that of the head restarts when the connection is established.
 */
class CallTimeouts {
  private readonly link: HostLink;
  private readonly linkDelayMilliseconds: number;
  private responseTimeout: NetworkTimeout;
  private receivedBytes = 0;
  private restartedAtBytes = 0;
  private connectTimeout: NetworkTimeout | undefined;
  /**
   * When the wait for the peer's next data began, by `performance.now`; undefined while
   * none is expected.
   */
  private waitingSince: number | undefined = performance.now();

  constructor(
    private readonly call: HttpCall,
    private readonly fail: (error: Error) => void,
  ) {
    const {
      timeouts,
      link = new UncongestedLink(),
      longPollMilliseconds = 0,
    } = call;
    this.link = link;
    this.linkDelayMilliseconds = Math.min(
      MAXIMUM_LINK_DELAY_MILLISECONDS,
      link.delayMilliseconds,
    );
    const limit =
      timeouts.total + longPollMilliseconds + this.linkDelayMilliseconds;
    this.responseTimeout = new NetworkTimeout(limit, () => {
      this.recordTimeout(longPollMilliseconds);
      fail(new CallTimeoutError(MissingPart.Response, limit));
    });
  }

  /** Starts the connect timeout of a new connection. */
  startConnectTimeout(socket: Socket): void {
    const limit = this.call.timeouts.connect + this.linkDelayMilliseconds;
    this.connectTimeout = new NetworkTimeout(limit, () => {
      this.recordTimeout(0);
      this.fail(new CallTimeoutError(MissingPart.Connection, limit));
    });
    socket.once('connect', () => {
      this.connectTimeout?.close();
      this.recordArrival();
      this.waitingSince = performance.now();
      if (this.linkDelayMilliseconds > 0) {
        this.responseTimeout.refresh();
      }
    });
    socket.once('close', () => {
      this.connectTimeout?.close();
    });
  }

  /** Records the arrival of the response head. */
  onResponse(): void {
    if ((this.call.longPollMilliseconds ?? 0) === 0) {
      this.recordArrival();
    }
    this.waitingSince = undefined;
    this.responseTimeout.close();
    const limit = this.call.timeouts.total + this.linkDelayMilliseconds;
    this.responseTimeout = new NetworkTimeout(limit, () => {
      this.fail(
        new CallTimeoutError(MissingPart.Body, limit, this.receivedBytes),
      );
    });
  }

  /** Records the arrival of a part of the body. */
  onBody(bytes: number): void {
    this.receivedBytes += bytes;
    if (this.receivedBytes - this.restartedAtBytes >= PROGRESS_BYTES) {
      this.restartedAtBytes = this.receivedBytes;
      this.responseTimeout.refresh();
    }
  }

  /** Cancels the timeouts. */
  close(): void {
    this.responseTimeout.close();
    this.connectTimeout?.close();
  }

  private recordArrival(): void {
    if (this.waitingSince !== undefined) {
      this.link.recordArrival(performance.now() - this.waitingSince);
    }
  }

  private recordTimeout(longPollMilliseconds: number): void {
    if (this.waitingSince !== undefined) {
      const waited = performance.now() - this.waitingSince;
      this.link.recordTimeout(waited - longPollMilliseconds);
    }
  }
}

function readResponse(
  outgoing: ClientRequest,
  call: HttpCall,
): Promise<BufferedResponse> {
  return new Promise((resolve, reject) => {
    const abort = () => {
      fail(new Error('the call was abandoned'));
    };
    const end = () => {
      callTimeouts.close();
      call.signal?.removeEventListener('abort', abort);
    };
    const fail = (error: Error) => {
      end();
      reject(error);
      outgoing.destroy();
    };
    const callTimeouts = new CallTimeouts(call, fail);
    call.signal?.addEventListener('abort', abort);
    if (call.signal?.aborted === true) {
      abort();
    }
    outgoing.once('socket', socket => {
      if (socket.connecting) {
        callTimeouts.startConnectTimeout(socket);
      }
    });
    outgoing.on('error', fail);
    let informationalResponses = 0;
    outgoing.on('information', () => {
      if (++informationalResponses > MAXIMUM_INFORMATIONAL_RESPONSES) {
        fail(new Error('too many 1xx responses'));
      }
    });
    outgoing.once('response', incoming => {
      if (isInterruptedHead(incoming)) {
        fail(new Error(INTERRUPTED_HEAD));
        return;
      }
      callTimeouts.onResponse();
      const body = new ResponseBody(incoming);
      incoming.on('data', (chunk: Buffer) => {
        body.add(chunk);
        if (body.isTooLarge) {
          fail(new Error(`body too large after ${body.receivedBytes} bytes`));
          return;
        }
        callTimeouts.onBody(chunk.length);
        call.onProgress?.(body.progress);
      });
      incoming.on('error', fail);
      incoming.once('end', () => {
        end();
        const {statusCode = 0, headers} = incoming;
        resolve({status: statusCode, headers, body: body.bytes});
      });
    });
  });
}

/** The body of a response as far as it has arrived. */
class ResponseBody {
  private readonly chunks: Buffer[] = [];
  private byteCount = 0;

  constructor(private readonly response: IncomingMessage) {}

  get receivedBytes(): number {
    return this.byteCount;
  }

  /** Whether it has more bytes, or came in more pieces, than a peer's body may. */
  get isTooLarge(): boolean {
    return (
      this.byteCount > MAXIMUM_BODY_BYTES ||
      this.chunks.length > MAXIMUM_BODY_PIECES
    );
  }

  get bytes(): Buffer {
    return Buffer.concat(this.chunks);
  }

  get progress(): ResponseProgress {
    const {statusCode = 0, headers} = this.response;
    const announced = headers['content-length'];
    return {
      status: statusCode,
      receivedBytes: this.byteCount,
      totalBytes: announced === undefined ? undefined : Number(announced),
      firstBytes: this.chunks[0] ?? Buffer.alloc(0),
    };
  }

  add(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.byteCount += chunk.length;
  }
}

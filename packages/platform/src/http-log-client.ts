import {HttpPeer, toStepError} from './http-peer.js';
import {
  asFields,
  listField,
  numberField,
  parseFields,
  stringField,
} from './json-fields.js';
import {LogClient, type LogPage, type LogRecord} from './log-client.js';
import {Fate, StepError} from './step-error.js';

/** URL and timeout of a service of the platform. */
export interface HttpServiceOptions {
  /** `http://IP:port`, without a slash at the end. */
  readonly url: string;
  /** A response that takes longer counts as lost. */
  readonly timeoutMilliseconds: number;
}

const CREATED = 201;
const SUCCESS = 200;
const FIRST_SERVER_ERROR = 500;

function toRecord(value: unknown): LogRecord {
  const fields = asFields(value);
  return {
    offset: numberField(fields, 'offset'),
    payload: Buffer.from(stringField(fields, 'payload'), 'base64'),
    appendedAtMilliseconds: numberField(fields, 'appendedAtMilliseconds'),
  };
}

/** The platform's log over HTTP. */
export class HttpLogClient extends LogClient {
  private readonly peer: HttpPeer;

  /**
   * @example
   * ```ts
   * const log = new HttpLogClient({
   *   url: 'http://10.0.0.9:7000',
   *   timeoutMilliseconds: 2_000,
   * });
   * ```
   */
  constructor(private readonly options: HttpServiceOptions) {
    super();
    this.peer = new HttpPeer(options.url, options.url);
  }

  override async append(
    stream: string,
    payload: Uint8Array,
    signal?: AbortSignal,
  ): Promise<number> {
    const step = `append to ${stream}`;
    const limit = this.options.timeoutMilliseconds;
    const response = await this.peer.exchange({
      step,
      method: 'POST',
      path: `/streams/${encodeURIComponent(stream)}/records`,
      headers: {'content-type': 'application/octet-stream'},
      body: payload,
      timeouts: {connect: limit, total: limit},
      signal,
    });
    if (response.status !== CREATED) {
      // The server may fail after it stored the record; only a rejection of the
      // request itself proves that the record was not stored.
      const fate =
        response.status >= FIRST_SERVER_ERROR ? Fate.Unknown : Fate.NotDone;
      throw new StepError(
        step,
        this.peer.peer,
        fate,
        `HTTP ${response.status}`,
      );
    }
    try {
      return numberField(parseFields(response.body.toString()), 'offset');
    } catch (error) {
      throw toStepError(step, this.peer.peer, error);
    }
  }

  override async read(
    stream: string,
    fromOffset: number,
    limit: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<LogPage> {
    const step = `read ${stream}`;
    const timeout = this.options.timeoutMilliseconds;
    const query = `from=${fromOffset}&limit=${limit}&waitMilliseconds=${waitMilliseconds}`;
    try {
      const response = await this.peer.exchange({
        step,
        method: 'GET',
        path: `/streams/${encodeURIComponent(stream)}/records?${query}`,
        timeouts: {connect: timeout, total: timeout + waitMilliseconds},
        signal,
      });
      if (response.status !== SUCCESS) {
        throw new Error(`HTTP ${response.status}`);
      }
      const fields = parseFields(response.body.toString());
      return {
        records: listField(fields, 'records').map(toRecord),
        firstOffset: numberField(fields, 'firstOffset'),
        nextOffset: numberField(fields, 'nextOffset'),
        endOffset: numberField(fields, 'endOffset'),
      };
    } catch (error) {
      // A read has no side effects, so it is NotDone even if its response was lost.
      const {reason} = toStepError(step, this.peer.peer, error);
      throw new StepError(step, this.peer.peer, Fate.NotDone, reason, {
        cause: error,
      });
    }
  }

  override close(): Promise<void> {
    return this.peer.close();
  }
}

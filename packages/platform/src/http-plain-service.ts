import {
  ATTEMPT_HEADER,
  checkAttemptEcho,
  DEFAULT_ENDPOINT_OPTIONS,
  type HttpEndpointOptions,
} from './http-endpoint-options.js';
import {HttpPeer, type BufferedResponse} from './http-peer.js';
import {
  PlainService,
  PlainServiceFactory,
  type PlainAnswer,
  type PlainCall,
} from './plain-service.js';
import {Fate, StepError} from './step-error.js';

const SUCCESS = 200;
const NOT_FOUND = 404;
const CALL_STEP = 'call a plain service';
const OUTCOME_STEP = 'look up an outcome';

function toAnswer(response: BufferedResponse): PlainAnswer {
  const contentType = response.headers['content-type'];
  return {
    status: response.status,
    contentType:
      typeof contentType === 'string'
        ? contentType
        : 'application/octet-stream',
    body: response.body,
  };
}

/** One endpoint of a plain service over HTTP. */
export class HttpPlainService extends PlainService {
  private readonly peer: HttpPeer;

  /**
   * @param endpoint Name of the endpoint in errors.
   * @param address `IP:port`.
   */
  constructor(
    private readonly endpoint: string,
    address: string,
    private readonly options: HttpEndpointOptions,
  ) {
    super();
    this.peer = new HttpPeer(`http://${address}`, endpoint);
  }

  override async call(
    call: PlainCall,
    signal?: AbortSignal,
  ): Promise<PlainAnswer> {
    const response = await this.peer.exchange(
      {
        step: CALL_STEP,
        method: call.method,
        path: call.path,
        headers: {
          [ATTEMPT_HEADER]: call.attemptId,
          'x-request-id': call.requestId,
          'x-organisation': call.organisation,
          ...(call.body.length === 0 ? {} : {'content-type': call.contentType}),
        },
        ...(call.body.length === 0 ? {} : {body: call.body}),
        timeouts: this.timeouts(),
        signal,
      },
      head => {
        const echoed = head.headers[ATTEMPT_HEADER];
        checkAttemptEcho(CALL_STEP, this.endpoint, call.attemptId, echoed);
      },
    );
    return toAnswer(response);
  }

  override async outcome(
    path: string,
    requestId: string,
    signal?: AbortSignal,
  ): Promise<PlainAnswer | undefined> {
    const response = await this.peer.exchange({
      step: OUTCOME_STEP,
      method: 'GET',
      path: `${path}?requestId=${encodeURIComponent(requestId)}`,
      timeouts: this.timeouts(),
      signal,
    });
    if (response.status === NOT_FOUND) {
      return undefined;
    }
    if (response.status !== SUCCESS) {
      const reason = `HTTP ${response.status}`;
      throw new StepError(OUTCOME_STEP, this.endpoint, Fate.NotDone, reason);
    }
    return toAnswer(response);
  }

  override close(): Promise<void> {
    return this.peer.close();
  }

  private timeouts() {
    return {
      connect: this.options.connectTimeoutMilliseconds,
      total: this.options.responseTimeoutMilliseconds,
    };
  }
}

/** Creates clients of plain services that are reached over HTTP. */
export class HttpPlainServiceFactory extends PlainServiceFactory {
  /**
   * @example
   * ```ts
   * const service = new HttpPlainServiceFactory().connect('registry-1', '10.0.1.9:80');
   * ```
   */
  constructor(
    private readonly options: HttpEndpointOptions = DEFAULT_ENDPOINT_OPTIONS,
  ) {
    super();
  }

  override connect(endpoint: string, address: string): PlainService {
    return new HttpPlainService(endpoint, address, this.options);
  }
}

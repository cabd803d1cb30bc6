import {
  ATTEMPT_HEADER,
  checkAttemptEcho,
  DEFAULT_ENDPOINT_OPTIONS,
  type HttpEndpointOptions,
} from './http-endpoint-options.js';
import {HttpEngineStream} from './http-engine-stream.js';
import {HttpPeer, toStepError, type Exchange} from './http-peer.js';
import {
  listField,
  numberField,
  parseFields,
  type JsonFields,
} from './json-fields.js';
import {
  ModelEngine,
  ModelEngineFactory,
  type AttemptStatus,
  type CompletionRequest,
  type EngineLoad,
  type EngineOrder,
  type EngineStream,
} from './model-engine.js';
import {Fate, StepError} from './step-error.js';

const SUCCESS = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;
const FIRST_SERVER_ERROR = 500;
const UNAVAILABLE = 503;

function completionBody(request: CompletionRequest): string {
  return JSON.stringify({
    model: request.model,
    messages: request.messages,
    max_tokens: request.maximumOutputTokens,
    stream: true,
    stream_options: {include_usage: true},
  });
}

function toStatus(fields: JsonFields): AttemptStatus {
  return {
    known: fields.known === true,
    finished: fields.finished === true,
    usage: {
      promptTokens: numberField(fields, 'promptTokens'),
      completionTokens: numberField(fields, 'completionTokens'),
    },
  };
}

const UNKNOWN_ATTEMPT: AttemptStatus = {
  known: false,
  finished: false,
  usage: {promptTokens: 0, completionTokens: 0},
};

/** A model engine over HTTP: chat completions as server-sent events. */
export class HttpModelEngine extends ModelEngine {
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

  override start(
    request: CompletionRequest,
    signal?: AbortSignal,
  ): Promise<EngineStream> {
    return this.openStream(request.attemptId, {
      step: 'start a completion',
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {
        'content-type': 'application/json',
        [ATTEMPT_HEADER]: request.attemptId,
        'x-priority': String(request.priority),
      },
      body: completionBody(request),
      timeouts: this.streamTimeouts(),
      signal,
    });
  }

  override resume(
    attemptId: string,
    afterIndex: number,
    signal?: AbortSignal,
  ): Promise<EngineStream> {
    return this.openStream(attemptId, {
      step: 'resume a completion',
      method: 'GET',
      path: `/v1/attempts/${encodeURIComponent(attemptId)}/events`,
      headers: afterIndex < 0 ? {} : {'last-event-id': String(afterIndex)},
      timeouts: this.streamTimeouts(),
      signal,
    });
  }

  override cancel(
    attemptId: string,
    signal?: AbortSignal,
  ): Promise<AttemptStatus> {
    return this.requestAttemptStatus(
      'cancel an attempt',
      'DELETE',
      attemptId,
      signal,
    );
  }

  override status(
    attemptId: string,
    signal?: AbortSignal,
  ): Promise<AttemptStatus> {
    return this.requestAttemptStatus(
      'get the status of an attempt',
      'GET',
      attemptId,
      signal,
    );
  }

  override async load(signal?: AbortSignal): Promise<EngineLoad> {
    const fields = await this.requestJson(
      'read the load',
      'GET',
      '/load',
      signal,
    );
    return {
      running: numberField(fields, 'running'),
      waiting: numberField(fields, 'waiting'),
      slots: numberField(fields, 'slots'),
      leaving: fields.leaving === true,
      cachedPrefixes: listField(fields, 'cachedPrefixes').map(String),
      cacheSequence: numberField(fields, 'cacheSequence'),
    };
  }

  override async order(
    order: EngineOrder,
    signal?: AbortSignal,
  ): Promise<boolean> {
    const step = 'send an order';
    const response = await this.peer.exchange({
      step,
      method: 'POST',
      path: '/orders',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(order),
      timeouts: this.callTimeouts(),
      signal,
    });
    if (response.status !== SUCCESS && response.status !== CONFLICT) {
      throw this.statusError(step, Fate.Unknown, response.status);
    }
    return response.status === SUCCESS;
  }

  override close(): Promise<void> {
    return this.peer.close();
  }

  private async openStream(
    attemptId: string,
    exchange: Exchange,
  ): Promise<EngineStream> {
    const response = await this.peer.open(exchange);
    try {
      if (response.status !== SUCCESS) {
        // With 503 the engine states that it did not start the request; other server
        // errors may come from a request that had started.
        const refused =
          response.status < FIRST_SERVER_ERROR ||
          response.status === UNAVAILABLE;
        const fate = refused ? Fate.NotDone : Fate.Unknown;
        throw this.statusError(exchange.step, fate, response.status);
      }
      const echoed = response.headers[ATTEMPT_HEADER];
      checkAttemptEcho(exchange.step, this.endpoint, attemptId, echoed);
      return new HttpEngineStream(this.endpoint, attemptId, response);
    } catch (error) {
      response.body.destroy();
      throw error;
    }
  }

  private async requestAttemptStatus(
    step: string,
    method: string,
    attemptId: string,
    signal: AbortSignal | undefined,
  ): Promise<AttemptStatus> {
    const path = `/v1/attempts/${encodeURIComponent(attemptId)}`;
    const response = await this.peer.exchange({
      step,
      method,
      path,
      timeouts: this.callTimeouts(),
      signal,
    });
    if (response.status === NOT_FOUND) {
      return UNKNOWN_ATTEMPT;
    }
    return toStatus(this.parseResponse(step, response));
  }

  private async requestJson(
    step: string,
    method: string,
    path: string,
    signal: AbortSignal | undefined,
  ): Promise<JsonFields> {
    const timeouts = this.callTimeouts();
    const response = await this.peer.exchange({
      step,
      method,
      path,
      timeouts,
      signal,
    });
    return this.parseResponse(step, response);
  }

  private parseResponse(
    step: string,
    response: {readonly status: number; readonly body: Buffer},
  ): JsonFields {
    if (response.status !== SUCCESS) {
      throw this.statusError(step, Fate.Unknown, response.status);
    }
    try {
      return parseFields(response.body.toString());
    } catch (error) {
      throw toStepError(step, this.endpoint, error);
    }
  }

  private statusError(step: string, fate: Fate, status: number): StepError {
    return new StepError(step, this.endpoint, fate, `HTTP ${status}`);
  }

  private streamTimeouts() {
    return {
      connect: this.options.connectTimeoutMilliseconds,
      response: this.options.responseTimeoutMilliseconds,
      idle: Math.max(
        this.options.idleTimeoutMilliseconds,
        this.options.responseTimeoutMilliseconds,
      ),
    };
  }

  private callTimeouts() {
    return {
      connect: this.options.connectTimeoutMilliseconds,
      total: this.options.idleTimeoutMilliseconds,
    };
  }
}

/** Creates clients of engines that are reached over HTTP. */
export class HttpModelEngineFactory extends ModelEngineFactory {
  /**
   * @example
   * ```ts
   * const engine = new HttpModelEngineFactory().connect('engine-1', '10.0.1.7:8000');
   * ```
   */
  constructor(
    private readonly options: HttpEndpointOptions = DEFAULT_ENDPOINT_OPTIONS,
  ) {
    super();
  }

  override connect(endpoint: string, address: string): ModelEngine {
    return new HttpModelEngine(endpoint, address, this.options);
  }
}

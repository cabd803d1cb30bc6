import {
  HttpPeer,
  readServerSentEvents,
  type StreamingResponse,
} from '@wisteriadeal/platform';
import {createHash} from 'node:crypto';

import {
  checkServiceAnswer,
  checkUnstreamedCompletion,
  messagesOf,
  StreamChecker,
  type CheckedAnswer,
} from './answer-checks.js';
import {
  isCompletion,
  RequestKind,
  type CallerIdentity,
  type CallerRequest,
  type CompletionCall,
} from './caller-request.js';
import {
  LOST_RESULT,
  ResultKind,
  type CallerResult,
  type UntimedResult,
} from './caller-result.js';

const SUCCESS = 200;
const REQUEST_ID_DIGITS = 32;
const CONNECT_TIMEOUT_MILLISECONDS = 2_000;
/** A caller treats its connection as broken after this time without data. */
const IDLE_TIMEOUT_MILLISECONDS = 20_000;

/** Returns the request identifier that every host derives from an idempotency key. */
export function requestIdOf(from: CallerIdentity, key: string): string {
  const digest = createHash('sha256')
    .update(`${from.organisation}\0${from.caller}\0${key}`)
    .digest('hex');
  return `req_${digest.slice(0, REQUEST_ID_DIGITS)}`;
}

function completionBody(call: CompletionCall): string {
  return JSON.stringify({
    model: call.model,
    messages: messagesOf(call),
    max_tokens: call.maximumTokens,
    stream: call.kind === RequestKind.Stream,
    ...(call.kind === RequestKind.Review ? {service_tier: 'batch'} : {}),
  });
}

function headersOf(request: CallerRequest): Record<string, string> {
  return {
    authorization: `Bearer ${request.from.secret}`,
    'content-type': 'application/json',
    ...(request.key === undefined ? {} : {'idempotency-key': request.key}),
  };
}

interface ProblemDocument {
  readonly type?: string;
  readonly outcome?: string;
  readonly requestId?: string;
  readonly retryAfterMilliseconds?: number;
}

const OUTCOMES: Readonly<Record<string, ResultKind>> = {
  'not-run': ResultKind.NotRun,
  failed: ResultKind.Failed,
  unknown: ResultKind.Unknown,
  answered: ResultKind.Answered,
};

function problemResult(text: string, requestId: string): UntimedResult {
  const problem = JSON.parse(text) as ProblemDocument;
  const kind = OUTCOMES[problem.outcome ?? ''];
  return {
    ...LOST_RESULT,
    kind: kind ?? ResultKind.Unknown,
    requestId: problem.requestId ?? requestId,
    problem: (problem.type ?? 'none').split(':').at(-1) ?? '',
    mismatch:
      kind === undefined ? 'problem document without a known outcome' : '',
    retryAfterMilliseconds: problem.retryAfterMilliseconds ?? 0,
  };
}

function answeredResult(
  requestId: string,
  checked: CheckedAnswer,
): UntimedResult {
  return {...LOST_RESULT, kind: ResultKind.Answered, requestId, ...checked};
}

async function readBody(response: StreamingResponse): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of response.body) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** A caller's client of one router; it verifies every answer. */
export class CallerClient {
  private readonly peer: HttpPeer;

  /** @param address `IP:port` of the router's interface for callers. */
  constructor(readonly address: string) {
    this.peer = new HttpPeer(`http://${address}`, address);
  }

  /**
   * Sends a request and reads its answer to the end. Never throws: a failed exchange
   * is a result too.
   *
   * @param onText Called after each event with text, so that a caller can abort the
   *     exchange there.
   */
  async send(
    request: CallerRequest,
    signal?: AbortSignal,
    onText?: () => void,
  ): Promise<CallerResult> {
    const startedAt = performance.now();
    let firstMilliseconds: number | undefined;
    const recordFirstText = () => {
      firstMilliseconds ??= performance.now() - startedAt;
      onText?.();
    };
    const untimedResult = await this.attempt(request, recordFirstText, signal);
    const milliseconds = performance.now() - startedAt;
    return {
      ...untimedResult,
      startedAtMilliseconds: startedAt,
      milliseconds,
      firstMilliseconds: firstMilliseconds ?? milliseconds,
    };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.peer.close();
  }

  private async attempt(
    request: CallerRequest,
    recordFirstText: () => void,
    signal: AbortSignal | undefined,
  ): Promise<UntimedResult> {
    let requestId = '';
    try {
      const response = await this.open(request, signal);
      requestId = String(response.headers['x-request-id'] ?? '');
      if (response.status !== SUCCESS) {
        return problemResult((await readBody(response)).toString(), requestId);
      }
      const result =
        request.kind === RequestKind.Stream
          ? await this.readStream(request, requestId, response, recordFirstText)
          : await this.readUnstreamed(request, requestId, response);
      return this.checkIdentifier(request, result);
    } catch (error) {
      const mismatch =
        error instanceof SyntaxError ? 'answer is not valid JSON' : '';
      return {...LOST_RESULT, requestId, mismatch};
    }
  }

  private open(
    request: CallerRequest,
    signal: AbortSignal | undefined,
  ): Promise<StreamingResponse> {
    const path = isCompletion(request)
      ? '/v1/chat/completions'
      : `/v1/services/${request.service}/${request.call}`;
    const method = isCompletion(request) ? 'POST' : request.method;
    const body = isCompletion(request) ? completionBody(request) : request.body;
    return this.peer.open({
      step: 'send a caller request',
      method,
      path,
      headers: headersOf(request),
      ...(method === 'GET' ? {} : {body}),
      timeouts: {
        connect: CONNECT_TIMEOUT_MILLISECONDS,
        idle: IDLE_TIMEOUT_MILLISECONDS,
      },
      signal,
    });
  }

  private async readStream(
    call: CompletionCall,
    requestId: string,
    response: StreamingResponse,
    recordFirstText: () => void,
  ): Promise<UntimedResult> {
    const checker = new StreamChecker(call, requestId);
    for await (const event of readServerSentEvents(response.body)) {
      if (checker.addEvent(event)) {
        recordFirstText();
      }
    }
    if (checker.problem !== '') {
      return problemResult(checker.problem, requestId);
    }
    return checker.complete
      ? answeredResult(requestId, checker.check())
      : {...LOST_RESULT, requestId};
  }

  private async readUnstreamed(
    request: CallerRequest,
    requestId: string,
    response: StreamingResponse,
  ): Promise<UntimedResult> {
    const body = await readBody(response);
    const checked = isCompletion(request)
      ? checkUnstreamedCompletion(request, requestId, body)
      : checkServiceAnswer(request, requestId, body);
    return answeredResult(requestId, checked);
  }

  private checkIdentifier(
    request: CallerRequest,
    result: UntimedResult,
  ): UntimedResult {
    const {key, from} = request;
    if (key === undefined || result.requestId === requestIdOf(from, key)) {
      return result;
    }
    return {
      ...result,
      mismatch: `request identifier ${result.requestId} is not derived from the key`,
    };
  }
}

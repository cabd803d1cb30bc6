import {
  HttpPeer,
  readServerSentEvents,
  type OpenAnswer,
} from '@wisteriadeal/platform';
import {createHash} from 'node:crypto';

import {
  checkCall,
  checkWhole,
  messagesOf,
  StreamCheck,
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
  NO_RESULT,
  ResultKind,
  type CallerResult,
  type Untimed,
} from './caller-result.js';

const SUCCESS = 200;
const REQUEST_ID_DIGITS = 32;
const CONNECT_LIMIT_MILLISECONDS = 2_000;
/** A caller that hears nothing for so long takes its connection for broken. */
const SILENCE_LIMIT_MILLISECONDS = 20_000;

/** The request identifier that a key gives, at every host. */
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

function problemResult(text: string, requestId: string): Untimed {
  const problem = JSON.parse(text) as ProblemDocument;
  const kind = OUTCOMES[problem.outcome ?? ''];
  return {
    ...NO_RESULT,
    kind: kind ?? ResultKind.Unknown,
    requestId: problem.requestId ?? requestId,
    problem: (problem.type ?? 'none').split(':').at(-1) ?? '',
    mismatch: kind === undefined ? 'a problem without an outcome' : '',
    retryAfterMilliseconds: problem.retryAfterMilliseconds ?? 0,
  };
}

function answeredResult(requestId: string, checked: CheckedAnswer): Untimed {
  return {...NO_RESULT, kind: ResultKind.Answered, requestId, ...checked};
}

async function collect(answer: OpenAnswer): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of answer.body) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** A caller's connection to one router; verifies every answer. */
export class CallerClient {
  private readonly peer: HttpPeer;

  /** @param address `IP:port` of a router's callers' interface. */
  constructor(readonly address: string) {
    this.peer = new HttpPeer(`http://${address}`, address);
  }

  /**
   * Sends a request and reads its answer to the end; never throws.
   *
   * @param onText Called after each event with text, for callers that break off.
   */
  async send(
    request: CallerRequest,
    signal?: AbortSignal,
    onText?: () => void,
  ): Promise<CallerResult> {
    const startedAt = performance.now();
    let firstMilliseconds: number | undefined;
    const noteText = () => {
      firstMilliseconds ??= performance.now() - startedAt;
      onText?.();
    };
    const untimed = await this.attempt(request, noteText, signal);
    const milliseconds = performance.now() - startedAt;
    return {
      ...untimed,
      startedAtMilliseconds: startedAt,
      milliseconds,
      firstMilliseconds: firstMilliseconds ?? milliseconds,
    };
  }

  /** Drops every connection. */
  async close(): Promise<void> {
    await this.peer.close();
  }

  private async attempt(
    request: CallerRequest,
    noteText: () => void,
    signal: AbortSignal | undefined,
  ): Promise<Untimed> {
    let requestId = '';
    try {
      const answer = await this.open(request, signal);
      requestId = String(answer.headers['x-request-id'] ?? '');
      if (answer.status !== SUCCESS) {
        return problemResult((await collect(answer)).toString(), requestId);
      }
      const result =
        request.kind === RequestKind.Stream
          ? await this.readStream(request, requestId, answer, noteText)
          : await this.readWhole(request, requestId, answer);
      return this.checkIdentifier(request, result);
    } catch (error) {
      const mismatch = error instanceof SyntaxError ? 'not JSON' : '';
      return {...NO_RESULT, requestId, mismatch};
    }
  }

  private open(
    request: CallerRequest,
    signal: AbortSignal | undefined,
  ): Promise<OpenAnswer> {
    const path = isCompletion(request)
      ? '/v1/chat/completions'
      : `/v1/services/${request.service}/${request.call}`;
    const method = isCompletion(request) ? 'POST' : request.method;
    const body = isCompletion(request) ? completionBody(request) : request.body;
    return this.peer.open({
      step: 'call a router',
      method,
      path,
      headers: headersOf(request),
      ...(method === 'GET' ? {} : {body}),
      timeouts: {
        connect: CONNECT_LIMIT_MILLISECONDS,
        idle: SILENCE_LIMIT_MILLISECONDS,
      },
      signal,
    });
  }

  private async readStream(
    call: CompletionCall,
    requestId: string,
    answer: OpenAnswer,
    noteText: () => void,
  ): Promise<Untimed> {
    const check = new StreamCheck(call, requestId);
    for await (const event of readServerSentEvents(answer.body)) {
      if (check.take(event)) {
        noteText();
      }
    }
    if (check.problem !== '') {
      return problemResult(check.problem, requestId);
    }
    return check.complete
      ? answeredResult(requestId, check.check())
      : {...NO_RESULT, requestId};
  }

  private async readWhole(
    request: CallerRequest,
    requestId: string,
    answer: OpenAnswer,
  ): Promise<Untimed> {
    const body = await collect(answer);
    const checked = isCompletion(request)
      ? checkWhole(request, requestId, body)
      : checkCall(request, requestId, body);
    return answeredResult(requestId, checked);
  }

  private checkIdentifier(request: CallerRequest, result: Untimed): Untimed {
    const {key, from} = request;
    if (key === undefined || result.requestId === requestIdOf(from, key)) {
      return result;
    }
    return {...result, mismatch: `request identifier ${result.requestId}`};
  }
}

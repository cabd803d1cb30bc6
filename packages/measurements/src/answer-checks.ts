import type {ServerSentEvent} from '@wisteriadeal/platform';
import {bodyDigest, expectedCompletion} from '@wisteriadeal/stand-ins';

import type {CompletionCall, ServiceCall} from './caller-request.js';

/** The result of checking an answer. */
export interface CheckedAnswer {
  /**
   * What is wrong with the answer; empty if it is complete and belongs to the request.
   */
  readonly mismatch: string;
  readonly tokens: number;
  readonly content: string;
}

interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
}

interface Chunk {
  readonly id: string;
  readonly choices: readonly {
    readonly delta?: {readonly content?: string};
    readonly message?: {readonly content?: string};
  }[];
  readonly usage?: Usage | null;
}

/** Returns the `messages` field of a completion request. */
export function messagesOf(call: CompletionCall) {
  return [{role: 'user', content: call.prompt}];
}

function checkCompletion(
  call: CompletionCall,
  content: string,
  usage: Usage | undefined,
): CheckedAnswer {
  const messages = messagesOf(call);
  const expected = expectedCompletion(call.model, messages, call.maximumTokens);
  const tokens =
    usage === undefined ? 0 : usage.prompt_tokens + usage.completion_tokens;
  const expectedTokens = expected.promptTokens + expected.completionTokens;
  let mismatch = '';
  if (content !== expected.text) {
    mismatch = `text has ${content.length} characters, expected ${expected.text.length}`;
  } else if (tokens !== expectedTokens) {
    mismatch = `usage is ${tokens} tokens, expected ${expectedTokens}`;
  }
  return {mismatch, tokens, content};
}

/** Collects the events of a stream and checks them as a whole at its end. */
export class StreamChecker {
  private content = '';
  private nextIndex = 0;
  private usage: Usage | undefined;
  private finished = false;
  private mismatch = '';
  private problemText = '';

  constructor(
    private readonly call: CompletionCall,
    private readonly requestId: string,
  ) {}

  /**
   * Adds an event of the stream.
   *
   * @returns True if the event carries text.
   * @throws SyntaxError if the event's data isn't JSON.
   */
  addEvent(event: ServerSentEvent): boolean {
    if (event.data === '[DONE]') {
      this.finished = true;
      return false;
    }
    const chunk = JSON.parse(event.data) as Partial<Chunk> & {type?: string};
    if (chunk.type !== undefined) {
      this.problemText = event.data;
      return false;
    }
    if (chunk.id !== this.requestId) {
      this.mismatch = `received an event of request ${String(chunk.id)}`;
    }
    this.usage = chunk.usage ?? this.usage;
    this.checkIndex(event);
    const text = chunk.choices?.[0]?.delta?.content ?? '';
    this.content += text;
    return text !== '';
  }

  /** True once the `[DONE]` event has been received. */
  get complete(): boolean {
    return this.finished;
  }

  /** The problem document sent within the stream; empty if there was none. */
  get problem(): string {
    return this.problemText;
  }

  /** Checks all events received so far. */
  check(): CheckedAnswer {
    const checked = checkCompletion(this.call, this.content, this.usage);
    return {...checked, mismatch: this.mismatch || checked.mismatch};
  }

  /** Detects lost and duplicated events by gaps and repeats in the event indexes. */
  private checkIndex(event: ServerSentEvent): void {
    if (Number(event.id) !== this.nextIndex) {
      this.mismatch = `received event ${String(event.id)}, expected ${this.nextIndex}`;
    }
    this.nextIndex++;
  }
}

/** Checks a completion that was sent without streaming. */
export function checkUnstreamedCompletion(
  call: CompletionCall,
  requestId: string,
  body: Buffer,
): CheckedAnswer {
  const answer = JSON.parse(body.toString()) as Chunk;
  const content = answer.choices[0]?.message?.content ?? '';
  const checked = checkCompletion(call, content, answer.usage ?? undefined);
  return answer.id === requestId
    ? checked
    : {...checked, mismatch: `received the answer of request ${answer.id}`};
}

/**
 * Checks that a plain service's answer belongs to the request, organisation, call and
 * body.
 */
export function checkServiceAnswer(
  call: ServiceCall,
  requestId: string,
  body: Buffer,
): CheckedAnswer {
  const text = body.toString();
  const reply = JSON.parse(text) as Record<string, unknown>;
  const expected: Record<string, unknown> = {
    requestId,
    organisation: call.from.organisation,
    call: call.call,
    digest: bodyDigest(Buffer.from(call.body)),
  };
  const wrong = Object.keys(expected).find(
    name => reply[name] !== expected[name],
  );
  const mismatch =
    wrong === undefined
      ? ''
      : `field ${wrong} has the unexpected value ${String(reply[wrong])}`;
  return {mismatch, tokens: call.tokens, content: text};
}

import type {ServerSentEvent} from '@wisteriadeal/platform';
import {bodyDigest, expectedCompletion} from '@wisteriadeal/stand-ins';

import type {CompletionCall, ServiceCall} from './caller-request.js';

/** An answer as it was checked. */
export interface CheckedAnswer {
  /** Empty where it is the caller's own and whole. */
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

/** The messages of a completion, as they are sent. */
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
  const wanted = expected.promptTokens + expected.completionTokens;
  let mismatch = '';
  if (content !== expected.text) {
    mismatch = `the text has ${content.length} characters, not the ${expected.text.length} expected`;
  } else if (tokens !== wanted) {
    mismatch = `usage of ${tokens} tokens, not ${wanted}`;
  }
  return {mismatch, tokens, content};
}

/** Collects a stream's events and checks them at its end. */
export class StreamCheck {
  private content = '';
  private next = 0;
  private usage: Usage | undefined;
  private finished = false;
  private mismatch = '';
  private problemText = '';

  constructor(
    private readonly call: CompletionCall,
    private readonly requestId: string,
  ) {}

  /** Takes one event; true for one that carries text. */
  take(event: ServerSentEvent): boolean {
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
      this.mismatch = `an event of ${String(chunk.id)}`;
    }
    this.usage = chunk.usage ?? this.usage;
    this.takeIndex(event);
    const text = chunk.choices?.[0]?.delta?.content ?? '';
    this.content += text;
    return text !== '';
  }

  /** The stream's end mark was seen. */
  get complete(): boolean {
    return this.finished;
  }

  /** A problem document sent within the stream; empty without one. */
  get problem(): string {
    return this.problemText;
  }

  /** Checks the whole. */
  check(): CheckedAnswer {
    const checked = checkCompletion(this.call, this.content, this.usage);
    return {...checked, mismatch: this.mismatch || checked.mismatch};
  }

  /** A gap or a repeat among the indexes would hide a lost or doubled event. */
  private takeIndex(event: ServerSentEvent): void {
    if (Number(event.id) !== this.next) {
      this.mismatch = `event ${String(event.id)} where ${this.next} belongs`;
    }
    this.next++;
  }
}

/** Checks a completion that came at once. */
export function checkWhole(
  call: CompletionCall,
  requestId: string,
  body: Buffer,
): CheckedAnswer {
  const answer = JSON.parse(body.toString()) as Chunk;
  const content = answer.choices[0]?.message?.content ?? '';
  const checked = checkCompletion(call, content, answer.usage ?? undefined);
  return answer.id === requestId
    ? checked
    : {...checked, mismatch: `an answer of ${answer.id}`};
}

/** Checks a plain service's answer: whose it is, and to which body. */
export function checkCall(
  call: ServiceCall,
  requestId: string,
  body: Buffer,
): CheckedAnswer {
  const text = body.toString();
  const reply = JSON.parse(text) as Record<string, unknown>;
  const wanted: Record<string, unknown> = {
    requestId,
    organisation: call.from.organisation,
    call: call.call,
    digest: bodyDigest(Buffer.from(call.body)),
  };
  const wrong = Object.keys(wanted).find(name => reply[name] !== wanted[name]);
  const mismatch =
    wrong === undefined ? '' : `${wrong} is ${String(reply[wrong])}`;
  return {mismatch, tokens: call.tokens, content: text};
}

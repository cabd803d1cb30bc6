import type {Response} from 'restify';

import type {EngineAttempt} from './engine-attempt.js';

/** Fault to inject into a stream. */
export interface StreamFault {
  /** Number of tokens after which the connection is closed; undefined for no fault. */
  readonly truncateAfter: number | undefined;
}

function eventText(index: number | undefined, data: unknown): string {
  const id = index === undefined ? '' : `id: ${index}\n`;
  return `${id}data: ${JSON.stringify(data)}\n\n`;
}

/** Streams an attempt's tokens as server-sent events while they are generated. */
export class EngineStreamWriter {
  private next: number;
  private unsubscribe: () => void = () => undefined;

  constructor(
    private readonly attempt: EngineAttempt,
    private readonly response: Response,
    afterIndex: number,
    private readonly fault: StreamFault,
  ) {
    this.next = afterIndex + 1;
  }

  /** Writes the response headers and existing tokens, then each new token. */
  start(): void {
    const {attemptId} = this.attempt.work;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-attempt-id': attemptId,
    });
    this.response.flushHeaders();
    this.unsubscribe = this.attempt.subscribe(() => {
      this.writeNew();
    });
    this.response.once('close', () => {
      this.unsubscribe();
    });
    this.writeNew();
  }

  private writeNew(): void {
    const {tokens} = this.attempt;
    for (; this.next < tokens.length; this.next++) {
      if (this.next === this.fault.truncateAfter) {
        this.unsubscribe();
        this.response.destroy();
        return;
      }
      this.response.write(this.tokenEvent(this.next, tokens[this.next] ?? ''));
    }
    if (this.attempt.finished) {
      this.unsubscribe();
      this.response.end(this.endEvents());
    }
  }

  private chunk(choices: readonly unknown[]): Record<string, unknown> {
    return {
      id: this.attempt.work.attemptId,
      object: 'chat.completion.chunk',
      choices,
    };
  }

  private tokenEvent(index: number, content: string): string {
    const last =
      this.attempt.finished && index === this.attempt.tokens.length - 1;
    const reason = last ? this.attempt.finishReason : null;
    const choice = {index: 0, delta: {content}, finish_reason: reason};
    return eventText(index, this.chunk([choice]));
  }

  private endEvents(): string {
    const {completion} = this.attempt.work;
    const cancelled = this.attempt.finishReason === 'cancelled';
    const choice = {index: 0, delta: {}, finish_reason: 'cancelled'};
    const usage = {
      prompt_tokens: completion.promptTokens,
      completion_tokens: this.attempt.completionTokens,
      total_tokens: completion.promptTokens + this.attempt.completionTokens,
    };
    return [
      cancelled ? eventText(undefined, this.chunk([choice])) : '',
      eventText(undefined, {...this.chunk([]), usage}),
      'data: [DONE]\n\n',
    ].join('');
  }
}

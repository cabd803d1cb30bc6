import {readServerSentEvents} from './event-stream-reader.js';
import {checkAttemptEcho} from './http-endpoint-options.js';
import {toStepError, type StreamingResponse} from './http-peer.js';
import {
  asFields,
  listField,
  numberField,
  parseFields,
  type JsonFields,
} from './json-fields.js';
import {
  FinishReason,
  type EngineEnd,
  type EngineEvent,
  type EngineStream,
} from './model-engine.js';
import {Fate, StepError} from './step-error.js';

const STEP = 'read an engine stream';
const END_MARKER = '[DONE]';

const FINISH_REASONS: Readonly<Record<string, FinishReason>> = {
  stop: FinishReason.Stop,
  length: FinishReason.Length,
  cancelled: FinishReason.Cancelled,
};

function toEnd(usage: JsonFields, finishReason: FinishReason): EngineEnd {
  return {
    finishReason,
    usage: {
      promptTokens: numberField(usage, 'prompt_tokens'),
      completionTokens: numberField(usage, 'completion_tokens'),
    },
  };
}

/** A chat completion that an engine streams as server-sent events. */
export class HttpEngineStream implements EngineStream {
  readonly events: AsyncIterable<EngineEvent>;
  private finishReason: FinishReason | undefined;
  private pendingEnd: EngineEnd | undefined;
  private confirmedEnd: EngineEnd | undefined;

  constructor(
    private readonly endpoint: string,
    readonly attemptId: string,
    private readonly response: StreamingResponse,
  ) {
    this.events = this.read();
  }

  get end(): EngineEnd | undefined {
    return this.confirmedEnd;
  }

  detach(): void {
    this.response.body.destroy();
  }

  private async *read(): AsyncGenerator<EngineEvent> {
    try {
      for await (const event of readServerSentEvents(this.response.body)) {
        if (event.data === END_MARKER) {
          this.confirmedEnd = this.pendingEnd;
          continue;
        }
        const text = this.processChunk(parseFields(event.data));
        if (text !== '') {
          yield {index: Number(event.id), text};
        }
      }
      this.requireEnd();
    } catch (error) {
      throw toStepError(STEP, this.endpoint, error);
    } finally {
      this.response.body.destroy();
    }
  }

  /**
   * Rejects a stream that ended without its end marker. A connection that closes
   * without an error looks like the end of a short response, and the caller would
   * take a truncated response for a complete one. A stream is complete only with the
   * end marker after the usage.
   *
   * @throws StepError with fate Unknown.
   */
  private requireEnd(): void {
    if (this.confirmedEnd === undefined) {
      throw new StepError(
        STEP,
        this.endpoint,
        Fate.Unknown,
        'the stream ended before its end marker',
      );
    }
  }

  private processChunk(chunk: JsonFields): string {
    checkAttemptEcho(STEP, this.endpoint, this.attemptId, chunk.id);
    const [first] = listField(chunk, 'choices');
    const choice = first === undefined ? undefined : asFields(first);
    const reason = choice?.finish_reason;
    if (typeof reason === 'string') {
      this.finishReason = FINISH_REASONS[reason] ?? FinishReason.Stop;
    }
    const usage = chunk.usage;
    if (typeof usage === 'object' && usage !== null) {
      this.pendingEnd = toEnd(
        asFields(usage),
        this.finishReason ?? FinishReason.Stop,
      );
    }
    const delta = choice === undefined ? {} : asFields(choice.delta);
    return typeof delta.content === 'string' ? delta.content : '';
  }
}

import {
  Fate,
  FinishReason,
  ModelEngine,
  ModelEngineFactory,
  StepError,
  type AttemptStatus,
  type CompletionRequest,
  type EngineEnd,
  type EngineEvent,
  type EngineLoad,
  type EngineStream,
} from '@wisteriadeal/platform';

/** Scripted behaviour of one start or resume of a stream. */
export interface StreamScript {
  /** The start or resume fails with this fate. */
  readonly fails?: Fate;
  /** Event index at which the connection breaks. */
  readonly breaksAfter?: number;
  /** Event index at which the stream closes without an error or an end event. */
  readonly truncatedAfter?: number;
  /** Event index at which the stream pauses until `release` is called. */
  readonly pausesAfter?: number;
  /** Identifier of another attempt whose stream is returned. */
  readonly otherAttemptId?: string;
  /** Index of an event to leave out. */
  readonly skippedEvent?: number;
  /** The engine does not record the attempt. */
  readonly ignoresAttempt?: boolean;
}

interface FakeAttempt {
  readonly request: CompletionRequest;
  readonly words: readonly string[];
  generated: number;
  cancelled: boolean;
}

const PROMPT_TOKENS = 3;

/** A scripted model engine that answers with numbered words. */
export class FakeEngine extends ModelEngine {
  readonly attempts = new Map<string, FakeAttempt>();
  readonly cancelled: string[] = [];
  leaving = false;
  loadReports = 0;
  private pausedStreams: (() => void)[] = [];
  private isReleased = false;

  /**
   * @param scripts Behaviour of each start and resume, in order; later ones
   *     succeed.
   */
  constructor(
    readonly scripts: StreamScript[] = [],
    private readonly words = 5,
  ) {
    super();
  }

  /** Number of attempts that the engine has recorded. */
  get starts(): number {
    return this.attempts.size;
  }

  /** Returns the complete text of an attempt's answer. */
  static text(request: CompletionRequest, words = 5): string {
    return FakeEngine.wordsOf(request, words).join('');
  }

  private static wordsOf(request: CompletionRequest, words: number): string[] {
    const subject = request.messages.at(-1)?.content ?? '';
    const count = Math.min(words, request.maximumOutputTokens);
    return Array.from({length: count}, (_, index) => `${subject}-${index} `);
  }

  /** Resumes all paused streams and prevents further pauses. */
  release(): void {
    this.isReleased = true;
    for (const wake of this.pausedStreams.splice(0)) {
      wake();
    }
  }

  override start(request: CompletionRequest): Promise<EngineStream> {
    const script = this.scripts.shift() ?? {};
    if (script.fails === Fate.NotDone) {
      return Promise.reject(this.failure(Fate.NotDone));
    }
    if (script.ignoresAttempt !== true) {
      this.attempts.set(request.attemptId, {
        request,
        words: FakeEngine.wordsOf(request, this.words),
        generated: 0,
        cancelled: false,
      });
    }
    return script.fails === Fate.Unknown
      ? Promise.reject(this.failure(Fate.Unknown))
      : Promise.resolve(this.open(request.attemptId, -1, script));
  }

  override resume(
    attemptId: string,
    afterIndex: number,
  ): Promise<EngineStream> {
    const script = this.scripts.shift() ?? {};
    if (script.fails !== undefined || !this.attempts.has(attemptId)) {
      return Promise.reject(this.failure(script.fails ?? Fate.NotDone));
    }
    return Promise.resolve(this.open(attemptId, afterIndex, script));
  }

  override cancel(attemptId: string): Promise<AttemptStatus> {
    this.cancelled.push(attemptId);
    const attempt = this.attempts.get(attemptId);
    if (attempt !== undefined) {
      attempt.cancelled = true;
    }
    return this.status(attemptId);
  }

  override status(attemptId: string): Promise<AttemptStatus> {
    const attempt = this.attempts.get(attemptId);
    return Promise.resolve({
      known: attempt !== undefined,
      finished: attempt?.generated === attempt?.words.length,
      usage: {
        promptTokens: PROMPT_TOKENS,
        completionTokens: attempt?.generated ?? 0,
      },
    });
  }

  override load(): Promise<EngineLoad> {
    this.loadReports++;
    return Promise.resolve({
      running: 0,
      waiting: 0,
      slots: 64,
      leaving: this.leaving,
      cachedPrefixes: [],
      cacheSequence: 0,
    });
  }

  override order(): Promise<boolean> {
    return Promise.resolve(true);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  /** Adds an attempt as if another router had started it. */
  addAttempt(request: CompletionRequest): void {
    this.attempts.set(request.attemptId, {
      request,
      words: FakeEngine.wordsOf(request, this.words),
      generated: 0,
      cancelled: false,
    });
  }

  private failure(fate: Fate): StepError {
    return new StepError('fake', 'engine-1', fate, 'scripted');
  }

  private open(
    attemptId: string,
    afterIndex: number,
    script: StreamScript,
  ): EngineStream {
    const state: {end: EngineEnd | undefined} = {end: undefined};
    const events = this.generate(attemptId, afterIndex, script, state);
    return {
      attemptId: script.otherAttemptId ?? attemptId,
      events,
      get end() {
        return state.end;
      },
      detach: () => {
        void events.return(undefined);
      },
    };
  }

  private async *generate(
    attemptId: string,
    afterIndex: number,
    script: StreamScript,
    state: {end: EngineEnd | undefined},
  ): AsyncGenerator<EngineEvent, void> {
    const attempt = this.attempts.get(attemptId);
    const words = attempt?.words ?? [];
    for (let index = afterIndex + 1; index <= words.length; index++) {
      await this.applyScript(script, index);
      if (index === script.truncatedAfter) {
        return;
      }
      const text =
        script.otherAttemptId === undefined ? words[index] : `stolen-${index} `;
      if (index === script.skippedEvent) {
        continue;
      }
      if (text !== undefined && attempt !== undefined) {
        attempt.generated = Math.max(attempt.generated, index + 1);
        yield {index, text};
      }
    }
    state.end = {
      finishReason: FinishReason.Stop,
      usage: {promptTokens: PROMPT_TOKENS, completionTokens: words.length},
    };
  }

  private async applyScript(
    script: StreamScript,
    index: number,
  ): Promise<void> {
    if (index === script.breaksAfter) {
      throw this.failure(Fate.Unknown);
    }
    if (index === script.pausesAfter && !this.isReleased) {
      await new Promise<void>(resolve => {
        this.pausedStreams.push(resolve);
      });
    }
  }
}

/** Returns the engines of a test by endpoint. */
export class FakeEngineFactory extends ModelEngineFactory {
  constructor(private readonly engines: Readonly<Record<string, FakeEngine>>) {
    super();
  }

  override connect(endpoint: string): ModelEngine {
    return this.engines[endpoint] ?? new FakeEngine();
  }
}

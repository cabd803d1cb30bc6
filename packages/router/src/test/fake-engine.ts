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

/** How one opening of a stream, a start or a resume, goes. */
export interface StreamScript {
  /** The opening fails with this fate. */
  readonly fails?: Fate;
  /** The connection breaks after so many events in all. */
  readonly breaksAfter?: number;
  /** The connection ends quietly, without the end mark, after so many events. */
  readonly truncatedAfter?: number;
  /** Waits here until `release` is called. */
  readonly holdsAfter?: number;
  /** The stream is another attempt's. */
  readonly echoes?: string;
  /** Leaves one event out. */
  readonly skips?: number;
  /** The engine forgets the attempt. */
  readonly forgets?: boolean;
}

interface FakeAttempt {
  readonly request: CompletionRequest;
  readonly words: readonly string[];
  generated: number;
  cancelled: boolean;
}

const PROMPT_TOKENS = 3;

/** A model engine that a test scripts; it answers with numbered words. */
export class FakeEngine extends ModelEngine {
  readonly attempts = new Map<string, FakeAttempt>();
  readonly cancelled: string[] = [];
  leaving = false;
  loadReports = 0;
  private held: (() => void)[] = [];
  private releasedForever = false;

  /** @param scripts How each opening goes, in order; then all goes well. */
  constructor(
    readonly scripts: StreamScript[] = [],
    private readonly words = 5,
  ) {
    super();
  }

  /** Number of starts that reached the engine. */
  get starts(): number {
    return this.attempts.size;
  }

  /** The text of a whole answer of an attempt. */
  static text(request: CompletionRequest, words = 5): string {
    return FakeEngine.wordsOf(request, words).join('');
  }

  private static wordsOf(request: CompletionRequest, words: number): string[] {
    const subject = request.messages.at(-1)?.content ?? '';
    const count = Math.min(words, request.maximumOutputTokens);
    return Array.from({length: count}, (_, index) => `${subject}-${index} `);
  }

  /** Lets everything that waits, and will wait, go on. */
  release(): void {
    this.releasedForever = true;
    for (const wake of this.held.splice(0)) {
      wake();
    }
  }

  override start(request: CompletionRequest): Promise<EngineStream> {
    const script = this.scripts.shift() ?? {};
    if (script.fails === Fate.NotDone) {
      return Promise.reject(this.failure(Fate.NotDone));
    }
    if (script.forgets !== true) {
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

  /** An attempt that another router started. */
  plant(request: CompletionRequest): void {
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
      attemptId: script.echoes ?? attemptId,
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
      await this.obey(script, index);
      if (index === script.truncatedAfter) {
        return;
      }
      const text =
        script.echoes === undefined ? words[index] : `stolen-${index} `;
      if (index === script.skips) {
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

  private async obey(script: StreamScript, index: number): Promise<void> {
    if (index === script.breaksAfter) {
      throw this.failure(Fate.Unknown);
    }
    if (index === script.holdsAfter && !this.releasedForever) {
      await new Promise<void>(resolve => {
        this.held.push(resolve);
      });
    }
  }
}

/** Hands out the engines of a test by endpoint. */
export class FakeEngineFactory extends ModelEngineFactory {
  constructor(private readonly engines: Readonly<Record<string, FakeEngine>>) {
    super();
  }

  override connect(endpoint: string): ModelEngine {
    return this.engines[endpoint] ?? new FakeEngine();
  }
}

import type {ExpectedCompletion} from './expected-completion.js';

/** What an engine was asked for. */
export interface AttemptWork {
  readonly attemptId: string;
  readonly completion: ExpectedCompletion;
  readonly priority: number;
  /** Steps that read the prompt before the first token. */
  readonly promptSteps: number;
}

/** One attempt from its arrival to its end. */
export class EngineAttempt {
  private generated = 0;
  private promptStepsLeft: number;
  private cancelled = false;
  private readonly listeners = new Set<() => void>();

  constructor(
    readonly work: AttemptWork,
    /** Counts arrivals. */
    readonly arrival: number,
  ) {
    this.promptStepsLeft = work.promptSteps;
  }

  /** One step of the batch: reads the prompt or makes one token. */
  step(): void {
    if (this.promptStepsLeft > 0) {
      this.promptStepsLeft--;
      return;
    }
    this.generated++;
    this.notify();
  }

  /** Ends it as it is. */
  cancel(): void {
    if (!this.finished) {
      this.cancelled = true;
      this.notify();
    }
  }

  /** No token will come any more. */
  get finished(): boolean {
    return (
      this.cancelled || this.generated >= this.work.completion.tokens.length
    );
  }

  /** The tokens so far. */
  get tokens(): readonly string[] {
    return this.work.completion.tokens.slice(0, this.generated);
  }

  /** How many tokens were made. */
  get completionTokens(): number {
    return this.generated;
  }

  /** As chat completions name it; undefined while it runs. */
  get finishReason(): string | undefined {
    if (this.cancelled) {
      return 'cancelled';
    }
    if (!this.finished) {
      return undefined;
    }
    return this.work.completion.cutByMaximum ? 'length' : 'stop';
  }

  /** Calls back after each change; returns the function that ends it. */
  listen(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private notify(): void {
    for (const listener of [...this.listeners]) {
      listener();
    }
  }
}

import type {ExpectedCompletion} from './expected-completion.js';

/** The work of one attempt at an engine. */
export interface AttemptWork {
  readonly attemptId: string;
  readonly completion: ExpectedCompletion;
  readonly priority: number;
  /** Number of batch steps that process the prompt before the first token. */
  readonly promptSteps: number;
}

/** The state of one attempt at an engine. */
export class EngineAttempt {
  private generated = 0;
  private remainingPromptSteps: number;
  private cancelled = false;
  private readonly listeners = new Set<() => void>();

  constructor(
    readonly work: AttemptWork,
    /** Sequence number of arrival. */
    readonly arrival: number,
  ) {
    this.remainingPromptSteps = work.promptSteps;
  }

  /** Runs one step of the batch: processes part of the prompt or generates a token. */
  step(): void {
    if (this.remainingPromptSteps > 0) {
      this.remainingPromptSteps--;
      return;
    }
    this.generated++;
    this.notify();
  }

  /** Cancels the attempt, keeping the tokens generated so far. */
  cancel(): void {
    if (!this.finished) {
      this.cancelled = true;
      this.notify();
    }
  }

  /** Whether the attempt is complete or cancelled. */
  get finished(): boolean {
    return (
      this.cancelled || this.generated >= this.work.completion.tokens.length
    );
  }

  /** The tokens generated so far. */
  get tokens(): readonly string[] {
    return this.work.completion.tokens.slice(0, this.generated);
  }

  /** Number of tokens generated so far. */
  get completionTokens(): number {
    return this.generated;
  }

  /** `finish_reason` of the chat completion; undefined while the attempt runs. */
  get finishReason(): string | undefined {
    if (this.cancelled) {
      return 'cancelled';
    }
    if (!this.finished) {
      return undefined;
    }
    return this.work.completion.isLimitedByMaximum ? 'length' : 'stop';
  }

  /** Subscribes to changes. Returns a function that unsubscribes. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private notify(): void {
    for (const listener of [...this.listeners]) {
      listener();
    }
  }
}

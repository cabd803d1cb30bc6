import {
  Fate,
  FinishReason,
  StepError,
  type Clock,
  type CompletionRequest,
  type EngineEnd,
  type EngineEvent,
  type EngineStream,
  type EngineUsage,
  type ModelEngine,
} from '@wisteriadeal/platform';

import type {Answer} from './answer.js';
import {endChunks, textChunk} from './completion-chunks.js';
import {EndpointWork, type RunHooks, type RunResult} from './endpoint-work.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import type {Attempt} from './request-life.js';

/**
 * A truncated stream is resumed at its engine this often. Two cover a dropped
 * connection and one more while the engine recovers; beyond that the caller is
 * better served by knowing.
 */
const MAXIMUM_RESUMES = 2;
const RESUME_PAUSE_MILLISECONDS = 100;

/**
 * An engine that sends nothing for this long has lost the stream, or its host
 * has vanished without a reset. Long prompts in a full batch take seconds.
 */
const STALL_MILLISECONDS = 10_000;

/** A cancelled or lost attempt's usage is asked for at most this long. */
const USAGE_TIMEOUT_MILLISECONDS = 2_000;

const STREAM_STEP = 'read the stream';

/** The completion without what each attempt adds. */
export type CompletionTemplate = Omit<CompletionRequest, 'attemptId'>;

/** One attempt while it is read. */
interface Reading {
  readonly engine: ModelEngine;
  readonly attempt: Attempt;
  readonly answer: Answer;
  readonly hooks: RunHooks;
  /** Events that the engine has sent, in its own count. */
  received: number;
}

/** A completion at a model engine. */
export class ModelWork extends EndpointWork {
  constructor(
    private readonly completion: CompletionTemplate,
    private readonly engineOf: (endpoint: string) => ModelEngine | undefined,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async start(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult> {
    const engine = this.engineOf(attempt.endpoint);
    if (engine === undefined) {
      throw new StepError(
        'dispatch',
        attempt.endpoint,
        Fate.NotDone,
        'unknown',
      );
    }
    const reading = {engine, attempt, answer, hooks, received: 0};
    const {attemptId} = attempt;
    try {
      const request = {...this.completion, attemptId};
      return await this.follow(
        reading,
        await engine.start(request, answer.abandoned),
      );
    } catch (error) {
      if (error instanceof StepError && error.fate === Fate.NotDone) {
        throw error;
      }
      return this.follow(reading, undefined);
    }
  }

  override resume(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult> {
    const engine = this.engineOf(attempt.endpoint);
    if (engine === undefined) {
      return Promise.resolve(
        this.untraceable(attempt, 'its endpoint is not known'),
      );
    }
    const reading = {engine, attempt, answer, hooks, received: 0};
    return this.follow(reading, undefined);
  }

  /**
   * Reads until the end mark. A stream without one is truncated, whatever closed
   * it: it is resumed at the engine, and reported as failed where that does not
   * help. It never counts as whole.
   */
  private async follow(
    reading: Reading,
    first: EngineStream | undefined,
  ): Promise<RunResult> {
    let stream = first;
    let failure: unknown;
    for (let resumes = 0; ; resumes++) {
      try {
        stream ??= await reading.engine.resume(
          reading.attempt.attemptId,
          reading.received - 1,
          reading.answer.abandoned,
        );
        const end = await this.copy(reading, stream);
        return this.ended(reading, end);
      } catch (error) {
        failure = error;
        stream?.detach();
        stream = undefined;
      }
      if (reading.answer.abandoned.aborted) {
        return this.cancelled(reading);
      }
      if (resumes >= MAXIMUM_RESUMES) {
        return this.givenUp(reading, failure);
      }
      await this.clock.sleep(RESUME_PAUSE_MILLISECONDS * (resumes + 1));
    }
  }

  private async copy(
    reading: Reading,
    stream: EngineStream,
  ): Promise<EngineEnd> {
    const {attempt, answer, hooks} = reading;
    if (stream.attemptId !== attempt.attemptId) {
      throw this.streamError(attempt, 'the answer is another attempt’s');
    }
    const events = stream.events[Symbol.asyncIterator]();
    for (;;) {
      const next = await this.within(attempt, answer, events.next());
      if (next.done === true) {
        break;
      }
      this.take(reading, next.value);
      hooks.started();
    }
    if (stream.end === undefined) {
      throw this.streamError(attempt, 'truncated: there is no end mark');
    }
    return stream.end;
  }

  private take(reading: Reading, event: EngineEvent): void {
    const {attempt, answer} = reading;
    if (event.index !== reading.received) {
      throw this.streamError(
        attempt,
        `event ${event.index} came where ${reading.received} was due`,
      );
    }
    reading.received++;
    answer.begin({status: 200, contentType: 'text/event-stream'});
    // A joined answer may hold more than the resumed engine has repeated yet.
    if (event.index >= answer.events.length) {
      answer.append(textChunk(answer, this.completion.model, event.text));
    }
  }

  private ended(reading: Reading, end: EngineEnd): RunResult {
    if (end.finishReason === FinishReason.Cancelled) {
      return this.broken(
        reading.attempt,
        end.usage,
        'the engine cancelled the stream',
      );
    }
    const {answer, received} = reading;
    answer.begin({status: 200, contentType: 'text/event-stream'});
    const chunks = endChunks(answer, this.completion.model, end);
    for (const [index, chunk] of chunks.entries()) {
      if (received + index >= answer.events.length) {
        answer.append(chunk);
      }
    }
    return {
      outcome: AnswerOutcome.Answered,
      cancelled: false,
      usage: end.usage,
      problem: undefined,
    };
  }

  private async cancelled(reading: Reading): Promise<RunResult> {
    const usage = await this.stopAndAsk(reading);
    return {
      ...this.broken(reading.attempt, usage, 'the caller hung up'),
      cancelled: true,
    };
  }

  private async givenUp(
    reading: Reading,
    failure: unknown,
  ): Promise<RunResult> {
    const usage = await this.stopAndAsk(reading);
    const reason = failure instanceof Error ? failure.message : String(failure);
    if (reading.received > 0 || usage !== undefined) {
      return this.broken(reading.attempt, usage, reason);
    }
    return this.untraceable(reading.attempt, reason);
  }

  private untraceable(attempt: Attempt, reason: string): RunResult {
    return {
      outcome: AnswerOutcome.Unknown,
      cancelled: false,
      usage: undefined,
      problem: new Problem(ProblemName.OutcomeUnknown, {
        detail: `nobody can be asked what became of it: ${reason}`,
        step: STREAM_STEP,
        peer: attempt.endpoint,
      }),
    };
  }

  /** Stops the work, so that nobody pays for more, and learns its usage. */
  private async stopAndAsk(reading: Reading): Promise<EngineUsage | undefined> {
    try {
      const status = await reading.engine.cancel(
        reading.attempt.attemptId,
        AbortSignal.timeout(USAGE_TIMEOUT_MILLISECONDS),
      );
      return status.known ? status.usage : undefined;
    } catch {
      return undefined;
    }
  }

  private broken(
    attempt: Attempt,
    usage: EngineUsage | undefined,
    detail: string,
  ): RunResult {
    return {
      outcome: AnswerOutcome.Failed,
      cancelled: false,
      usage,
      problem: new Problem(ProblemName.FailedAfterRunning, {
        detail,
        step: STREAM_STEP,
        peer: attempt.endpoint,
      }),
    };
  }

  private streamError(attempt: Attempt, reason: string): StepError {
    return new StepError(STREAM_STEP, attempt.endpoint, Fate.Unknown, reason);
  }

  /** Waits for the next event, a stall, or the caller's going. */
  private async within<Value>(
    attempt: Attempt,
    answer: Answer,
    step: Promise<Value>,
  ): Promise<Value> {
    const over = new AbortController();
    const signal = AbortSignal.any([over.signal, answer.abandoned]);
    const stalled = this.clock
      .sleep(STALL_MILLISECONDS, signal)
      .then((): never => {
        throw this.streamError(attempt, 'stalled, or left by its caller');
      });
    stalled.catch(() => {
      // Whoever lost the race is of no interest.
    });
    try {
      return await Promise.race([step, stalled]);
    } finally {
      step.catch(() => {
        // The stream is detached after a stall; its last error says nothing.
      });
      over.abort();
    }
  }
}

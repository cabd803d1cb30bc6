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
import type {Attempt} from './request-state.js';

/**
 * Maximum number of times a truncated stream is resumed at its engine. Two cover
 * a dropped connection and a second one while the engine recovers; after that,
 * reporting the failure serves the caller better than further delay.
 */
const MAXIMUM_RESUMES = 2;
const RESUME_DELAY_MILLISECONDS = 100;

/**
 * Time without an event after which a stream counts as lost: the engine has lost
 * it, or its host has failed without a connection reset. Long prompts in a full
 * batch take seconds, so the timeout is well above that.
 */
const STALL_TIMEOUT_MILLISECONDS = 10_000;

/** Timeout for querying the usage of a cancelled or lost attempt. */
const USAGE_TIMEOUT_MILLISECONDS = 2_000;

const STREAM_STEP = 'read the stream';

/** A completion request without the fields that differ for each attempt. */
export type CompletionTemplate = Omit<CompletionRequest, 'attemptId'>;

/** State of reading the stream of one attempt. */
interface ReadState {
  readonly engine: ModelEngine;
  readonly attempt: Attempt;
  readonly answer: Answer;
  readonly hooks: RunHooks;
  /** Number of events received from the engine, and index of the next one. */
  received: number;
}

/** Runs a completion at a model engine. */
export class ModelWork extends EndpointWork {
  constructor(
    private readonly completion: CompletionTemplate,
    private readonly findEngine: (endpoint: string) => ModelEngine | undefined,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async start(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult> {
    const engine = this.findEngine(attempt.endpoint);
    if (engine === undefined) {
      throw new StepError(
        'dispatch',
        attempt.endpoint,
        Fate.NotDone,
        'the endpoint has no engine client',
      );
    }
    const state = {engine, attempt, answer, hooks, received: 0};
    const {attemptId} = attempt;
    try {
      const request = {...this.completion, attemptId};
      return await this.readToEnd(
        state,
        await engine.start(request, answer.abandoned),
      );
    } catch (error) {
      if (error instanceof StepError && error.fate === Fate.NotDone) {
        throw error;
      }
      return this.readToEnd(state, undefined);
    }
  }

  override resume(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult> {
    const engine = this.findEngine(attempt.endpoint);
    if (engine === undefined) {
      return Promise.resolve(
        this.unknownResult(attempt, 'the endpoint has no engine client'),
      );
    }
    const state = {engine, attempt, answer, hooks, received: 0};
    return this.readToEnd(state, undefined);
  }

  /**
   * Reads the stream until its end event. A stream that closes without one is
   * truncated, whatever closed it. It is resumed at the engine, and reported as
   * failed after the last resume; it is never treated as complete.
   */
  private async readToEnd(
    state: ReadState,
    first: EngineStream | undefined,
  ): Promise<RunResult> {
    let stream = first;
    let failure: unknown;
    for (let resumes = 0; ; resumes++) {
      try {
        stream ??= await state.engine.resume(
          state.attempt.attemptId,
          state.received - 1,
          state.answer.abandoned,
        );
        const end = await this.copyEvents(state, stream);
        return this.finishAnswer(state, end);
      } catch (error) {
        failure = error;
        stream?.detach();
        stream = undefined;
      }
      if (state.answer.abandoned.aborted) {
        return this.cancelledResult(state);
      }
      if (resumes >= MAXIMUM_RESUMES) {
        return this.resultOfLostStream(state, failure);
      }
      await this.clock.sleep(RESUME_DELAY_MILLISECONDS * (resumes + 1));
    }
  }

  private async copyEvents(
    state: ReadState,
    stream: EngineStream,
  ): Promise<EngineEnd> {
    const {attempt, answer, hooks} = state;
    if (stream.attemptId !== attempt.attemptId) {
      throw this.streamError(attempt, 'the stream belongs to another attempt');
    }
    const events = stream.events[Symbol.asyncIterator]();
    for (;;) {
      const next = await this.withStallTimeout(attempt, answer, events.next());
      if (next.done === true) {
        break;
      }
      this.acceptEvent(state, next.value);
      hooks.partReceived();
    }
    if (stream.end === undefined) {
      throw this.streamError(attempt, 'the stream closed without an end event');
    }
    return stream.end;
  }

  private acceptEvent(state: ReadState, event: EngineEvent): void {
    const {attempt, answer} = state;
    if (event.index !== state.received) {
      throw this.streamError(
        attempt,
        `received event ${event.index} instead of event ${state.received}`,
      );
    }
    state.received++;
    answer.setHead({status: 200, contentType: 'text/event-stream'});
    // The answer may have more events, copied from another router, than the
    // resumed engine has repeated so far.
    if (event.index >= answer.events.length) {
      answer.append(textChunk(answer, this.completion.model, event.text));
    }
  }

  private finishAnswer(state: ReadState, end: EngineEnd): RunResult {
    if (end.finishReason === FinishReason.Cancelled) {
      return this.failedResult(
        state.attempt,
        end.usage,
        'the engine cancelled the stream',
      );
    }
    const {answer, received} = state;
    answer.setHead({status: 200, contentType: 'text/event-stream'});
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

  private async cancelledResult(state: ReadState): Promise<RunResult> {
    const usage = await this.cancelAndGetUsage(state);
    return {
      ...this.failedResult(state.attempt, usage, 'the caller disconnected'),
      cancelled: true,
    };
  }

  private async resultOfLostStream(
    state: ReadState,
    failure: unknown,
  ): Promise<RunResult> {
    const usage = await this.cancelAndGetUsage(state);
    const reason = failure instanceof Error ? failure.message : String(failure);
    if (state.received > 0 || usage !== undefined) {
      return this.failedResult(state.attempt, usage, reason);
    }
    return this.unknownResult(state.attempt, reason);
  }

  private unknownResult(attempt: Attempt, reason: string): RunResult {
    return {
      outcome: AnswerOutcome.Unknown,
      cancelled: false,
      usage: undefined,
      problem: new Problem(ProblemName.OutcomeUnknown, {
        detail: `the outcome of the attempt cannot be determined: ${reason}`,
        step: STREAM_STEP,
        peer: attempt.endpoint,
      }),
    };
  }

  /**
   * Cancels the attempt, so that no further tokens are billed, and returns its
   * usage; undefined if the engine does not know it or can't be reached.
   */
  private async cancelAndGetUsage(
    state: ReadState,
  ): Promise<EngineUsage | undefined> {
    try {
      const status = await state.engine.cancel(
        state.attempt.attemptId,
        AbortSignal.timeout(USAGE_TIMEOUT_MILLISECONDS),
      );
      return status.known ? status.usage : undefined;
    } catch {
      return undefined;
    }
  }

  private failedResult(
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

  /**
   * Waits for the next event.
   *
   * @throws StepError if none arrives within the stall timeout, or the caller
   *     disconnects for good.
   */
  private async withStallTimeout<Value>(
    attempt: Attempt,
    answer: Answer,
    step: Promise<Value>,
  ): Promise<Value> {
    const timeoutController = new AbortController();
    const signal = AbortSignal.any([
      timeoutController.signal,
      answer.abandoned,
    ]);
    const stalled = this.clock
      .sleep(STALL_TIMEOUT_MILLISECONDS, signal)
      .then((): never => {
        throw this.streamError(
          attempt,
          'the stream stalled or the caller disconnected',
        );
      });
    stalled.catch(() => {
      // Avoids an unhandled rejection if the event arrives before the timeout.
    });
    try {
      return await Promise.race([step, stalled]);
    } finally {
      step.catch(() => {
        // The stream is detached after a stall, so its later error is ignored.
      });
      timeoutController.abort();
    }
  }
}

import {
  Fate,
  StepError,
  type PlainAnswer,
  type PlainCall,
  type PlainService,
} from '@wisteriadeal/platform';
import type {Call} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import {EndpointWork, type RunHooks, type RunResult} from './endpoint-work.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import type {Attempt} from './request-life.js';

/** An answer that takes longer counts as lost. */
const CALL_TIMEOUT_MILLISECONDS = 10_000;
const LOOK_UP_TIMEOUT_MILLISECONDS = 2_000;

const CALL_STEP = 'call the service';

/** The call without what each attempt adds. */
export type PlainCallTemplate = Omit<PlainCall, 'attemptId'>;

/** A call of a plain service. */
export class PlainWork extends EndpointWork {
  constructor(
    private readonly template: PlainCallTemplate,
    private readonly call: Call,
    private readonly serviceOf: (endpoint: string) => PlainService | undefined,
  ) {
    super();
  }

  override async start(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult> {
    const service = this.serviceOf(attempt.endpoint);
    if (service === undefined) {
      throw new StepError(CALL_STEP, attempt.endpoint, Fate.NotDone, 'unknown');
    }
    try {
      return this.answered(await this.send(service, attempt), answer, hooks);
    } catch (error) {
      if (error instanceof StepError && error.fate === Fate.NotDone) {
        throw error;
      }
      return this.lost(service, attempt, answer, hooks, error);
    }
  }

  override async resume(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult> {
    const service = this.serviceOf(attempt.endpoint);
    return service === undefined
      ? this.unknown(attempt, 'the endpoint is no longer configured')
      : this.lost(service, attempt, answer, hooks, 'its router was lost');
  }

  private send(service: PlainService, attempt: Attempt): Promise<PlainAnswer> {
    return service.call(
      {...this.template, attemptId: attempt.attemptId},
      AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
    );
  }

  /**
   * The answer was lost after the call may have taken effect. An idempotent call
   * is made once more; any other is never repeated, but looked up where the
   * service offers it.
   */
  private async lost(
    service: PlainService,
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
    reason: unknown,
  ): Promise<RunResult> {
    try {
      const found = this.call.idempotent
        ? await this.send(service, attempt)
        : await this.lookUp(service);
      if (found !== undefined) {
        return this.answered(found, answer, hooks);
      }
    } catch {
      // What became of the first call stays unknown.
    }
    return this.unknown(
      attempt,
      reason instanceof Error ? reason.message : String(reason),
    );
  }

  private async lookUp(
    service: PlainService,
  ): Promise<PlainAnswer | undefined> {
    return this.call.outcomePath === ''
      ? undefined
      : service.outcome(
          this.call.outcomePath,
          this.template.requestId,
          AbortSignal.timeout(LOOK_UP_TIMEOUT_MILLISECONDS),
        );
  }

  private answered(
    found: PlainAnswer,
    answer: Answer,
    hooks: RunHooks,
  ): RunResult {
    hooks.started();
    answer.begin({status: found.status, contentType: found.contentType});
    answer.append(found.body);
    return {
      outcome: AnswerOutcome.Answered,
      cancelled: false,
      usage: {promptTokens: 0, completionTokens: this.call.tokens},
      problem: undefined,
    };
  }

  private unknown(attempt: Attempt, reason: string): RunResult {
    const lookUp =
      this.call.outcomePath === ''
        ? 'the service offers no way to look it up'
        : `the service tells at ${this.call.outcomePath}?requestId=${this.template.requestId}`;
    return {
      outcome: AnswerOutcome.Unknown,
      cancelled: false,
      usage: undefined,
      problem: new Problem(ProblemName.OutcomeUnknown, {
        detail: `${reason}; ${lookUp}`,
        step: CALL_STEP,
        peer: attempt.endpoint,
      }),
    };
  }
}

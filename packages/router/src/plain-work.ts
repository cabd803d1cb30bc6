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
import type {Attempt} from './request-state.js';

/** Time after which the answer to a call counts as lost. */
const CALL_TIMEOUT_MILLISECONDS = 10_000;
const LOOK_UP_TIMEOUT_MILLISECONDS = 2_000;

const CALL_STEP = 'call the service';

/** A call without the fields that differ for each attempt. */
export type PlainCallTemplate = Omit<PlainCall, 'attemptId'>;

/** Calls a plain service. */
export class PlainWork extends EndpointWork {
  constructor(
    private readonly template: PlainCallTemplate,
    private readonly call: Call,
    private readonly findService: (
      endpoint: string,
    ) => PlainService | undefined,
  ) {
    super();
  }

  override async start(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult> {
    const service = this.findService(attempt.endpoint);
    if (service === undefined) {
      throw new StepError(
        CALL_STEP,
        attempt.endpoint,
        Fate.NotDone,
        'the endpoint has no service client',
      );
    }
    try {
      return this.answeredResult(
        await this.send(service, attempt),
        answer,
        hooks,
      );
    } catch (error) {
      if (error instanceof StepError && error.fate === Fate.NotDone) {
        throw error;
      }
      return this.recoverAnswer(service, attempt, answer, hooks, error);
    }
  }

  override async resume(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult> {
    const service = this.findService(attempt.endpoint);
    return service === undefined
      ? this.unknownResult(attempt, 'the endpoint is no longer configured')
      : this.recoverAnswer(
          service,
          attempt,
          answer,
          hooks,
          'the router that dispatched the call was lost',
        );
  }

  private send(service: PlainService, attempt: Attempt): Promise<PlainAnswer> {
    return service.call(
      {...this.template, attemptId: attempt.attemptId},
      AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
    );
  }

  /**
   * Recovers an answer that was lost after the call may have taken effect. An
   * idempotent call is repeated once. Any other call is never repeated; its
   * outcome is looked up if the service has an outcome path.
   */
  private async recoverAnswer(
    service: PlainService,
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
    reason: unknown,
  ): Promise<RunResult> {
    try {
      const found = this.call.idempotent
        ? await this.send(service, attempt)
        : await this.lookUpOutcome(service);
      if (found !== undefined) {
        return this.answeredResult(found, answer, hooks);
      }
    } catch {
      // The outcome of the first call remains unknown.
    }
    return this.unknownResult(
      attempt,
      reason instanceof Error ? reason.message : String(reason),
    );
  }

  private async lookUpOutcome(
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

  private answeredResult(
    found: PlainAnswer,
    answer: Answer,
    hooks: RunHooks,
  ): RunResult {
    hooks.partReceived();
    answer.setHead({status: found.status, contentType: found.contentType});
    answer.append(found.body);
    return {
      outcome: AnswerOutcome.Answered,
      cancelled: false,
      usage: {promptTokens: 0, completionTokens: this.call.tokens},
      problem: undefined,
    };
  }

  private unknownResult(attempt: Attempt, reason: string): RunResult {
    const lookUp =
      this.call.outcomePath === ''
        ? 'the service offers no way to look it up'
        : `the service reports the outcome at ${this.call.outcomePath}?requestId=${this.template.requestId}`;
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

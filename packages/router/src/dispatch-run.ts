import {create} from '@bufbuild/protobuf';
import {WorkOutcome} from '@wisteriadeal/decisions';
import {Fate, StepError} from '@wisteriadeal/platform';
import {BillSchema} from '@wisteriadeal/schema';

import {chargedTokens} from './bound.js';
import type {RunResult} from './endpoint-work.js';
import {generateAttemptId} from './identity.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import * as requestState from './request-state.js';
import {RETRY_AFTER_MILLISECONDS, type RunContext} from './run-context.js';
import {billOutcome, claimExpiredProblem} from './verdicts.js';

/** Maximum number of endpoints tried for one request until one is reached. */
const MAXIMUM_PLACEMENTS = 3;

/** Runs a request from its reservation to its bill. */
export class DispatchRun {
  constructor(private readonly context: RunContext) {}

  /** Dispatches the request; tries another endpoint if one is unreachable. */
  async execute(from: requestState.Reserved): Promise<void> {
    let reserved = from;
    for (let tries = 0; tries < MAXIMUM_PLACEMENTS; tries++) {
      const placed =
        reserved.placement === undefined
          ? await this.context.findEndpoint(requestState.queue(reserved))
          : reserved;
      if (placed?.kind !== requestState.Phase.Reserved) {
        return;
      }
      const next = await this.dispatch(placed);
      if (next === undefined) {
        return;
      }
      reserved = next;
    }
    this.context.refuse(
      reserved,
      new Problem(ProblemName.Unavailable, {
        detail: 'no endpoint could be reached',
        step: 'dispatch',
        peer: this.context.submission.service,
        retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
      }),
    );
  }

  /**
   * Dispatches to the assigned endpoint. Returns the state before dispatch if the
   * endpoint was not reached, and undefined if the request has ended.
   */
  private async dispatch(
    reserved: requestState.Reserved,
  ): Promise<requestState.Reserved | undefined> {
    const {submission, dependencies} = this.context;
    if (
      !submission.idempotent &&
      !dependencies.holderClient.isClaimValid(reserved.reservation)
    ) {
      this.context.refuse(reserved, claimExpiredProblem());
      return undefined;
    }
    if (!submission.idempotent) {
      dependencies.dispatchedCalls.add(submission.requestId);
    }
    const endpoint = reserved.placement?.endpoint ?? '';
    const attemptId = generateAttemptId(
      submission.requestId,
      dependencies.random,
    );
    const dispatching = this.context.recordState(
      requestState.dispatch(reserved, {endpoint, attemptId}),
    );
    this.notifyHolder(dispatching);
    try {
      const result = await submission.work.start(
        dispatching.attempt,
        this.context.answer,
        {partReceived: this.createPartReceivedHook(dispatching)},
      );
      await this.finishOrRerun(dispatching, result);
      return undefined;
    } catch (error) {
      if (!(error instanceof StepError) || error.fate !== Fate.NotDone) {
        throw error;
      }
      this.context.dependencies.log.warn('endpoint-not-reached', {
        ...this.context.logFields,
        step: error.step,
        peer: error.peer,
        reason: error.reason,
      });
      this.context.releaseAndAvoid(endpoint);
      return this.context.recordState(requestState.undoDispatch(dispatching));
    }
  }

  /** Resumes an attempt that a lost router dispatched. */
  async continueAttempt(resuming: requestState.Resuming): Promise<void> {
    const {submission} = this.context;
    this.notifyHolder(resuming);
    const result = await submission.work.resume(
      resuming.attempt,
      this.context.answer,
      {
        partReceived: this.createPartReceivedHook(resuming),
      },
    );
    await this.finishOrRerun(resuming, result);
  }

  /**
   * Ends the request, or reruns it after an attempt with an unknown outcome: its
   * engine was lost, or its router was lost before it reported the endpoint. An
   * idempotent request whose caller has received no event is run once more at
   * another endpoint, with the same reservation and a single bill. A late answer
   * of the first attempt has no open connection and is never delivered. Any other
   * request ends as unknown.
   */
  private async finishOrRerun(
    from: requestState.Dispatching | requestState.Resuming,
    result: RunResult,
  ): Promise<void> {
    const {submission, answer, dependencies} = this.context;
    const mayRerun =
      result.outcome === AnswerOutcome.Unknown &&
      submission.idempotent &&
      answer.events.length === 0 &&
      submission.lastEvent < 0;
    if (!mayRerun) {
      this.finish(from, result);
      return;
    }
    this.context.releaseAndAvoid(from.attempt.endpoint);
    const placement = await this.context.requestPlacement();
    if (placement.err) {
      this.finish(from, result);
      return;
    }
    const attemptId = generateAttemptId(
      submission.requestId,
      dependencies.random,
    );
    const {endpoint} = placement.val;
    const rerunState = this.context.recordState(
      requestState.rerun(from, {endpoint, attemptId}),
    );
    this.notifyHolder(rerunState);
    try {
      const hooks = {partReceived: this.createPartReceivedHook(rerunState)};
      const rerunResult = await submission.work.start(
        rerunState.attempt,
        answer,
        hooks,
      );
      this.finish(rerunState, rerunResult);
    } catch {
      this.finish(rerunState, result);
    }
  }

  private notifyHolder(
    from: requestState.Dispatching | requestState.Resuming,
  ): void {
    const {submission, dependencies} = this.context;
    const {reservation, attempt} = from;
    dependencies.holderClient.sendDispatching(
      {...submission, reservation},
      attempt,
    );
  }

  private createPartReceivedHook(from: requestState.AfterDispatch): () => void {
    let isFirst = true;
    return () => {
      if (isFirst) {
        isFirst = false;
        this.context.recordState(requestState.stream(from));
        this.context.dependencies.dispatcher.firstToken(
          this.context.submission.requestId,
        );
      }
    };
  }

  /**
   * Ends the answer at once and sends the bill; the bill is resent until a keeper
   * acknowledges it.
   */
  private finish(from: requestState.AfterDispatch, result: RunResult): void {
    const settling = this.context.recordState(
      requestState.settle(from, result.outcome),
    );
    const {problem, usage} = result;
    this.context.answer.shouldKeep = true;
    this.context.answer.finish(
      problem === undefined
        ? {complete: true}
        : {problem: problem.forRequest(this.context.submission.requestId)},
    );
    const outcome = result.cancelled
      ? WorkOutcome.Cancelled
      : result.outcome === AnswerOutcome.Answered
        ? WorkOutcome.Answered
        : WorkOutcome.Failed;
    this.context.release(from.attempt.endpoint, outcome, usage);
    this.context.dependencies.metrics.increment(`request.${result.outcome}`);
    void this.settleBill(settling, result).then(() => {
      this.context.recordState(requestState.end(settling));
    });
  }

  private settleBill(
    settling: requestState.Settling,
    result: RunResult,
  ): Promise<void> {
    const {requestId, organisation, caller, boundTokens} =
      this.context.submission;
    const {usage, outcome, cancelled} = result;
    const usedTokens =
      usage === undefined
        ? boundTokens
        : usage.promptTokens + usage.completionTokens;
    const bill = create(BillSchema, {
      requestId,
      grantId: settling.reservation.grantId,
      tokens: chargedTokens(usedTokens, boundTokens),
      promptTokens: usage?.promptTokens ?? 0,
      completionTokens: usage?.completionTokens ?? 0,
      confirmed: usage !== undefined,
      outcome: billOutcome(outcome, cancelled),
      attemptId: settling.attempt.attemptId,
      endpoint: settling.attempt.endpoint,
      caller,
    });
    const {reservation} = settling;
    return this.context.dependencies.holderClient.settle(
      {requestId, organisation, reservation},
      bill,
    );
  }
}

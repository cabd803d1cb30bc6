import {create} from '@bufbuild/protobuf';
import {WorkOutcome} from '@wisteriadeal/decisions';
import {Fate, StepError} from '@wisteriadeal/platform';
import {BillSchema} from '@wisteriadeal/schema';

import {charge} from './bound.js';
import type {RunResult} from './endpoint-work.js';
import {freshAttemptId} from './identity.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import * as life from './request-life.js';
import {RETRY_MILLISECONDS, type RunContext} from './run-context.js';
import {billOutcome, claimLostProblem} from './verdicts.js';

/** Endpoints tried for one request, as long as none was reached. */
const MAXIMUM_PLACEMENTS = 3;

/** The part of a request's life from its reservation to its bill. */
export class DispatchRun {
  constructor(private readonly context: RunContext) {}

  /** Dispatches, to another endpoint where one can't be reached. */
  async execute(from: life.Reserved): Promise<void> {
    let reserved = from;
    for (let tries = 0; tries < MAXIMUM_PLACEMENTS; tries++) {
      const placed =
        reserved.placement === undefined
          ? await this.context.findEndpoint(life.queue(reserved))
          : reserved;
      if (placed?.kind !== life.LifeKind.Reserved) {
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
        retryAfterMilliseconds: RETRY_MILLISECONDS,
      }),
    );
  }

  /** Returns the state before dispatch where the endpoint was not reached. */
  private async dispatch(
    reserved: life.Reserved,
  ): Promise<life.Reserved | undefined> {
    const {submission, parts} = this.context;
    if (
      !submission.idempotent &&
      !parts.holder.claimStands(reserved.reservation)
    ) {
      this.context.refuse(reserved, claimLostProblem());
      return undefined;
    }
    if (!submission.idempotent) {
      parts.dispatchedCalls.add(submission.requestId);
    }
    const endpoint = reserved.placement?.endpoint ?? '';
    const attemptId = freshAttemptId(submission.requestId, parts.random);
    const dispatching = this.context.note(
      life.dispatch(reserved, {endpoint, attemptId}),
    );
    this.tellHolder(dispatching);
    try {
      const result = await submission.work.start(
        dispatching.attempt,
        this.context.answer,
        {started: this.startedHook(dispatching)},
      );
      await this.finishOrRerun(dispatching, result);
      return undefined;
    } catch (error) {
      if (!(error instanceof StepError) || error.fate !== Fate.NotDone) {
        throw error;
      }
      this.context.parts.log.warn('endpoint-not-reached', {
        ...this.context.fields,
        step: error.step,
        peer: error.peer,
        reason: error.reason,
      });
      this.context.avoid(endpoint);
      return this.context.note(life.unreached(dispatching));
    }
  }

  /** Continues what a lost router dispatched. */
  async continueAttempt(resuming: life.Resuming): Promise<void> {
    const {submission} = this.context;
    this.tellHolder(resuming);
    const result = await submission.work.resume(
      resuming.attempt,
      this.context.answer,
      {
        started: this.startedHook(resuming),
      },
    );
    await this.finishOrRerun(resuming, result);
  }

  /**
   * Nobody can tell what became of an attempt: its engine is gone, or its router
   * died before it told where it went. An idempotent request of which the caller
   * has seen nothing is run once more elsewhere, under the same reservation and
   * with one bill; a late answer of the first attempt has no connection left to
   * come by. Anything else is told as unknown.
   */
  private async finishOrRerun(
    from: life.Dispatching | life.Resuming,
    result: RunResult,
  ): Promise<void> {
    const {submission, answer, parts} = this.context;
    const mayRerun =
      result.outcome === AnswerOutcome.Unknown &&
      submission.idempotent &&
      answer.events.length === 0 &&
      submission.lastEvent < 0;
    if (!mayRerun) {
      this.finish(from, result);
      return;
    }
    this.context.avoid(from.attempt.endpoint);
    const placing = await this.context.offer();
    if (placing.err) {
      this.finish(from, result);
      return;
    }
    const attemptId = freshAttemptId(submission.requestId, parts.random);
    const {endpoint} = placing.val;
    const again = this.context.note(life.rerun(from, {endpoint, attemptId}));
    this.tellHolder(again);
    try {
      const hooks = {started: this.startedHook(again)};
      const second = await submission.work.start(again.attempt, answer, hooks);
      this.finish(again, second);
    } catch {
      this.finish(again, result);
    }
  }

  private tellHolder(from: life.Dispatching | life.Resuming): void {
    const {submission, parts} = this.context;
    const {reservation, attempt} = from;
    parts.holder.dispatching({...submission, reservation}, attempt);
  }

  private startedHook(from: life.AfterDispatch): () => void {
    let first = true;
    return () => {
      if (first) {
        first = false;
        this.context.note(life.stream(from));
        this.context.parts.dispatcher.firstToken(
          this.context.submission.requestId,
        );
      }
    };
  }

  /** The caller is told at once; the bill is repeated until acknowledged. */
  private finish(from: life.AfterDispatch, result: RunResult): void {
    const settling = this.context.note(life.settle(from, result.outcome));
    const {problem, usage} = result;
    this.context.answer.keep = true;
    this.context.answer.finish(
      problem === undefined
        ? {whole: true}
        : {problem: problem.forRequest(this.context.submission.requestId)},
    );
    const outcome = result.cancelled
      ? WorkOutcome.Cancelled
      : result.outcome === AnswerOutcome.Answered
        ? WorkOutcome.Answered
        : WorkOutcome.Failed;
    this.context.release(from.attempt.endpoint, outcome, usage);
    this.context.parts.metrics.increment(`request.${result.outcome}`);
    void this.bill(settling, result).then(() => {
      this.context.note(life.end(settling));
    });
  }

  private bill(settling: life.Settling, result: RunResult): Promise<void> {
    const {requestId, organisation, caller, boundTokens} =
      this.context.submission;
    const {usage, outcome, cancelled} = result;
    const used =
      usage === undefined
        ? boundTokens
        : usage.promptTokens + usage.completionTokens;
    const bill = create(BillSchema, {
      requestId,
      grantId: settling.reservation.grantId,
      tokens: charge(used, boundTokens),
      promptTokens: usage?.promptTokens ?? 0,
      completionTokens: usage?.completionTokens ?? 0,
      confirmed: usage !== undefined,
      outcome: billOutcome(outcome, cancelled),
      attemptId: settling.attempt.attemptId,
      endpoint: settling.attempt.endpoint,
      caller,
    });
    const {reservation} = settling;
    return this.context.parts.holder.settle(
      {requestId, organisation, reservation},
      bill,
    );
  }
}

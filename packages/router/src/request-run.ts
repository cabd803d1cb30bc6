import {WorkOutcome} from '@wisteriadeal/decisions';
import {StepError} from '@wisteriadeal/platform';
import {BeginVerdict, type BeginAnswer} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import {DispatchRun} from './dispatch-run.js';
import {generateAttemptId} from './identity.js';
import type {BeginFields} from './keeper-session.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import * as requestState from './request-state.js';
import {AttachResult, copyAnswer} from './router-connector.js';
import {RunContext, type RunDependencies} from './run-context.js';
import type {Submission} from './submission.js';
import {
  answerGoneProblem,
  drainingProblem,
  problemOfVerdict,
  withdrawnProblem,
} from './verdicts.js';

/**
 * Maximum number of begins whose verdict is a join. If the joined router is lost,
 * the request sends its begin again after a delay, because the holder needs time
 * to detect the loss.
 */
const MAXIMUM_JOINS = 5;
const REJOIN_DELAY_MILLISECONDS = 300;
const MAXIMUM_PEERS_QUERIED = 16;

/** Runs one request at this router, from its submission to its bill. */
export class RequestRun {
  private readonly context: RunContext;
  private readonly dispatchRun: DispatchRun;

  constructor(
    dependencies: RunDependencies,
    submission: Submission,
    answer: Answer,
  ) {
    this.context = new RunContext(dependencies, submission, answer);
    this.dispatchRun = new DispatchRun(this.context);
  }

  /**
   * Runs the request to its end; never throws. A request with a caller's key
   * sends its begin to the holder before it queues for an endpoint: an earlier
   * attempt may have run elsewhere, and refusing for lack of an endpoint would
   * then report "not run" for a request that ran. A request without a key is
   * known to no other router, so it queues first and holds no reservation while
   * it waits.
   */
  async run(): Promise<void> {
    const received = requestState.receive();
    try {
      const beginResult = this.context.submission.keyed
        ? await this.begin(received)
        : await this.queueAndBegin(received);
      if (beginResult?.kind === requestState.Phase.Resuming) {
        await this.dispatchRun.continueAttempt(beginResult);
      } else if (beginResult !== undefined) {
        await this.dispatchRun.execute(beginResult);
      }
    } catch (error) {
      this.context.dependencies.log.error('request-run-broke', {
        ...this.context.logFields,
        reason: error instanceof Error ? error.message : String(error),
      });
      this.context.answer.finish({
        problem: new Problem(ProblemName.OutcomeUnknown, {
          detail: 'internal error in the router',
        }),
      });
    }
  }

  private async queueAndBegin(received: requestState.Received) {
    const placed = await this.context.findEndpoint(
      requestState.queue(received),
    );
    return placed?.kind === requestState.Phase.Placed
      ? this.begin(placed)
      : undefined;
  }

  private async begin(
    from: requestState.Received | requestState.Placed,
  ): Promise<requestState.Reserved | requestState.Resuming | undefined> {
    const {dependencies, answer} = this.context;
    const beginning = this.context.recordState(requestState.begin(from));
    let holderNamedThisRouter = false;
    for (let joins = 0; joins < MAXIMUM_JOINS; joins++) {
      const beginSentAt = dependencies.clock.monotonicMilliseconds();
      const verdict = await this.beginAtHolder(beginning);
      if (verdict === undefined) {
        return undefined;
      }
      if (verdict.verdict !== BeginVerdict.JOIN) {
        return this.applyVerdict(beginning, verdict, beginSentAt);
      }
      if (verdict.router?.incarnation === dependencies.incarnation()) {
        if (holderNamedThisRouter && !this.isUndispatchedCall) {
          this.finishAnswerGone(beginning);
          return undefined;
        }
        holderNamedThisRouter = true;
        dependencies.holderClient.abandonUnanswered(
          this.beginFields(beginning),
        );
        continue;
      }
      if (await this.copyFromRouter(beginning, verdict)) {
        return undefined;
      }
      await dependencies.clock.sleep(
        REJOIN_DELAY_MILLISECONDS,
        answer.abandoned,
      );
    }
    this.context.failBegin(
      beginning,
      'the router that runs the request is unreachable',
      'join',
      '',
    );
    return undefined;
  }

  /**
   * Handles a second JOIN verdict that names this router although it no longer
   * has the request. The abandon sent after the first verdict released any begin
   * whose answer was lost, so the request is settled and its answer is no longer
   * kept.
   */
  private finishAnswerGone(beginning: requestState.Beginning): void {
    this.context.releaseSlot(beginning, WorkOutcome.NotDispatched);
    this.context.recordState(requestState.endAsUnknown(beginning));
    this.context.answer.finish({
      problem: answerGoneProblem('').forRequest(
        this.context.submission.requestId,
      ),
    });
  }

  private get isUndispatchedCall(): boolean {
    const {submission, dependencies} = this.context;
    return (
      !submission.idempotent &&
      dependencies.dispatchedCalls.wasNeverDispatched(submission.requestId)
    );
  }

  private beginFields(beginning: requestState.Beginning): BeginFields {
    const {submission, dependencies} = this.context;
    return {
      requestId: submission.requestId,
      organisation: submission.organisation,
      caller: submission.caller,
      fingerprint: submission.fingerprint,
      boundTokens: submission.boundTokens,
      attemptId: generateAttemptId(submission.requestId, dependencies.random),
      service: submission.service,
      idempotent: submission.idempotent,
      mintedHere: submission.mintedHere,
      endpoint: beginning.placement?.endpoint ?? '',
      claimUnused: this.isUndispatchedCall,
    };
  }

  private async beginAtHolder(
    beginning: requestState.Beginning,
  ): Promise<BeginAnswer | undefined> {
    try {
      return await this.context.dependencies.holderClient.begin(
        this.beginFields(beginning),
      );
    } catch (error) {
      if (!(error instanceof StepError)) {
        throw error;
      }
      this.context.failBegin(beginning, error.reason, error.step, error.peer);
      return undefined;
    }
  }

  private async applyVerdict(
    beginning: requestState.Beginning,
    answer: BeginAnswer,
    beginSentAt: number,
  ): Promise<requestState.Reserved | requestState.Resuming | undefined> {
    const {grantId, holder, witness, resume} = answer;
    const reservation = {grantId, holder, witness, beginSentAt};
    if (answer.verdict === BeginVerdict.RESERVED) {
      return this.checkReserved(
        beginning,
        this.context.recordState(requestState.reserve(beginning, reservation)),
      );
    }
    if (answer.verdict === BeginVerdict.RESUME && resume !== undefined) {
      this.context.releaseSlot(beginning, WorkOutcome.NotDispatched);
      return this.context.recordState(
        requestState.resume(beginning, reservation, resume),
      );
    }
    if (answer.verdict === BeginVerdict.UNAVAILABLE) {
      this.context.failBegin(
        beginning,
        answer.reason,
        'begin at the holder',
        holder,
        answer.retryAfterMilliseconds,
      );
      return undefined;
    }
    if (
      answer.verdict === BeginVerdict.ANSWER_GONE &&
      (await this.copyFromPeers(beginning))
    ) {
      return undefined;
    }
    const problem = problemOfVerdict(answer);
    if (problem.outcome === AnswerOutcome.NotRun) {
      this.context.refuse(beginning, problem);
    } else {
      this.context.releaseSlot(beginning, WorkOutcome.NotDispatched);
      this.context.recordState(requestState.endAsUnknown(beginning));
      this.context.answer.finish({problem});
    }
    return undefined;
  }

  /**
   * Checks that a new run may use the reservation. The text of a new run can
   * differ, so a caller that has read part of an earlier answer would get a mix
   * of two answers that looks complete. In that case the reservation is released
   * and the earlier answer is looked up at the other routers: it may be kept in
   * another data centre, which this holder does not cover. If none has it, the
   * request fails and the caller can request the complete answer again.
   */
  private async checkReserved(
    beginning: requestState.Beginning,
    reserved: requestState.Reserved,
  ): Promise<requestState.Reserved | undefined> {
    if (
      this.context.answer.events.length > 0 ||
      this.context.submission.lastEvent >= 0
    ) {
      const {reservation} = reserved;
      void this.context.dependencies.holderClient.abandon({
        ...this.context.submission,
        reservation,
      });
      if (await this.copyFromPeers(beginning)) {
        return undefined;
      }
      this.context.answer.finish({
        problem: new Problem(ProblemName.FailedAfterRunning, {
          detail: 'the partially read stream can no longer be continued',
          step: 'resume',
          requestId: this.context.submission.requestId,
        }),
      });
      return undefined;
    }
    if (this.context.answer.abandoned.aborted) {
      this.context.refuse(reserved, withdrawnProblem());
      return undefined;
    }
    if (this.context.dependencies.draining()) {
      this.context.refuse(reserved, drainingProblem());
      return undefined;
    }
    return reserved;
  }

  /**
   * Copies the answer from another router that keeps it; returns false if none
   * does. Used if the log has the request's bill but the holder does not know its
   * router, because the request ran in another data centre. Such retries are
   * rare, so up to 16 routers are queried in turn instead of keeping an index of
   * answers.
   */
  private async copyFromPeers(
    beginning: requestState.Beginning,
  ): Promise<boolean> {
    const {dependencies, answer} = this.context;
    for (const peer of dependencies.peers().slice(0, MAXIMUM_PEERS_QUERIED)) {
      const {controlAddress} = peer;
      const result = await copyAnswer(
        dependencies.routerConnector,
        controlAddress,
        answer,
      );
      if (result === AttachResult.Ended) {
        this.context.releaseSlot(beginning, WorkOutcome.NotDispatched);
        this.context.recordState(
          requestState.join(beginning, peer.incarnation),
        );
        answer.shouldKeep = answer.endedAfterRun;
        return true;
      }
    }
    return false;
  }

  /**
   * Copies the answer of the router that the verdict names; returns false if the
   * answer did not end.
   */
  private async copyFromRouter(
    beginning: requestState.Beginning,
    verdict: BeginAnswer,
  ): Promise<boolean> {
    const {router} = verdict;
    if (router === undefined) {
      return false;
    }
    this.context.releaseSlot(beginning, WorkOutcome.NotDispatched);
    this.context.recordState(requestState.join(beginning, router.incarnation));
    const result = await copyAnswer(
      this.context.dependencies.routerConnector,
      router.controlAddress,
      this.context.answer,
    );
    this.context.answer.shouldKeep = this.context.answer.endedAfterRun;
    return result === AttachResult.Ended;
  }
}

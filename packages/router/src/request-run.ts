import {WorkOutcome} from '@wisteriadeal/decisions';
import {StepError} from '@wisteriadeal/platform';
import {BeginVerdict, type BeginAnswer} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import {DispatchRun} from './dispatch-run.js';
import {freshAttemptId} from './identity.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import * as life from './request-life.js';
import {AttachResult, copyAnswer} from './router-attacher.js';
import {RunContext, type RunParts} from './run-context.js';
import type {Submission} from './submission.js';
import {
  drainingProblem,
  problemOfVerdict,
  withdrawnProblem,
} from './verdicts.js';

/**
 * A joined router that is lost makes the request begin again; its holder needs a
 * moment to notice the loss.
 */
const MAXIMUM_JOINS = 5;
const REJOIN_MILLISECONDS = 300;

/** The life of one request at this router, from its submission to its bill. */
export class RequestRun {
  private readonly context: RunContext;
  private readonly dispatchRun: DispatchRun;

  constructor(parts: RunParts, submission: Submission, answer: Answer) {
    this.context = new RunContext(parts, submission, answer);
    this.dispatchRun = new DispatchRun(this.context);
  }

  /**
   * Runs to the end; never throws. With a caller's own key the holder is asked
   * first: an earlier try may have run elsewhere, and a refusal for want of an
   * endpoint would then be a "not run" that ran. Without a key nobody else can
   * know the request, and the queue comes first, so that waiting work holds no
   * reservation.
   */
  async run(): Promise<void> {
    const received = life.receive();
    try {
      const begun = this.context.submission.keyed
        ? await this.begin(received)
        : await this.queueAndBegin(received);
      if (begun?.kind === life.LifeKind.Resuming) {
        await this.dispatchRun.continueAttempt(begun);
      } else if (begun !== undefined) {
        await this.dispatchRun.execute(begun);
      }
    } catch (error) {
      this.context.parts.log.error('request-run-broke', {
        ...this.context.fields,
        reason: error instanceof Error ? error.message : String(error),
      });
      this.context.answer.finish({
        problem: new Problem(ProblemName.OutcomeUnknown, {
          detail: 'an error inside the router',
        }),
      });
    }
  }

  private async queueAndBegin(received: life.Received) {
    const placed = await this.context.findEndpoint(life.queue(received));
    return placed?.kind === life.LifeKind.Placed
      ? this.begin(placed)
      : undefined;
  }

  private async begin(
    from: life.Received | life.Placed,
  ): Promise<life.Reserved | life.Resuming | undefined> {
    const beginning = this.context.note(life.begin(from));
    for (let joins = 0; joins < MAXIMUM_JOINS; joins++) {
      const answer = await this.askHolder(beginning);
      if (answer === undefined) {
        return undefined;
      }
      if (answer.verdict !== BeginVerdict.JOIN) {
        return this.applyVerdict(beginning, answer);
      }
      if (await this.joined(beginning, answer)) {
        return undefined;
      }
      await this.context.parts.clock.sleep(
        REJOIN_MILLISECONDS,
        this.context.answer.abandoned,
      );
    }
    this.context.loseOrRefuse(
      beginning,
      'the router that runs it is out of reach',
      'join',
      '',
    );
    return undefined;
  }

  private async askHolder(
    beginning: life.Beginning,
  ): Promise<BeginAnswer | undefined> {
    const {submission, parts} = this.context;
    try {
      return await parts.holder.begin({
        requestId: submission.requestId,
        organisation: submission.organisation,
        caller: submission.caller,
        fingerprint: submission.fingerprint,
        boundTokens: submission.boundTokens,
        attemptId: freshAttemptId(submission.requestId, parts.random),
        service: submission.service,
        idempotent: submission.idempotent,
        mintedHere: submission.mintedHere,
        endpoint: beginning.placement?.endpoint ?? '',
      });
    } catch (error) {
      if (!(error instanceof StepError)) {
        throw error;
      }
      this.context.loseOrRefuse(
        beginning,
        error.reason,
        error.step,
        error.peer,
      );
      return undefined;
    }
  }

  private applyVerdict(
    beginning: life.Beginning,
    answer: BeginAnswer,
  ): life.Reserved | life.Resuming | undefined {
    const {grantId, holder, witness, resume} = answer;
    const reservation = {grantId, holder, witness};
    if (answer.verdict === BeginVerdict.RESERVED) {
      return this.checkReserved(
        this.context.note(life.reserve(beginning, reservation)),
      );
    }
    if (answer.verdict === BeginVerdict.RESUME && resume !== undefined) {
      this.context.releaseSlot(beginning, WorkOutcome.NotDispatched);
      return this.context.note(life.resume(beginning, reservation, resume));
    }
    if (answer.verdict === BeginVerdict.UNAVAILABLE) {
      this.context.loseOrRefuse(
        beginning,
        answer.reason,
        'begin at the holder',
        holder,
        answer.retryAfterMilliseconds,
      );
      return undefined;
    }
    const problem = problemOfVerdict(answer);
    if (problem.outcome === AnswerOutcome.NotRun) {
      this.context.refuse(beginning, problem);
    } else {
      this.context.releaseSlot(beginning, WorkOutcome.NotDispatched);
      this.context.note(life.lose(beginning));
      this.context.answer.finish({problem});
    }
    return undefined;
  }

  /**
   * A new run may word its answer otherwise. Where the caller has seen part of an
   * earlier one, going on from there would mix two answers into one that looks
   * whole; the caller is told instead, and may ask for the whole anew.
   */
  private checkReserved(reserved: life.Reserved): life.Reserved | undefined {
    if (
      this.context.answer.events.length > 0 ||
      this.context.submission.lastEvent >= 0
    ) {
      const {reservation} = reserved;
      this.context.parts.holder.abandon({
        ...this.context.submission,
        reservation,
      });
      this.context.answer.finish({
        problem: new Problem(ProblemName.FailedAfterRunning, {
          detail: 'the stream that was seen in part can no longer be continued',
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
    if (this.context.parts.draining()) {
      this.context.refuse(reserved, drainingProblem());
      return undefined;
    }
    return reserved;
  }

  /** Copies another router's answer; false where it was lost on the way. */
  private async joined(
    beginning: life.Beginning,
    verdict: BeginAnswer,
  ): Promise<boolean> {
    const {router} = verdict;
    if (
      router === undefined ||
      router.incarnation === this.context.parts.incarnation()
    ) {
      return false;
    }
    this.context.releaseSlot(beginning, WorkOutcome.NotDispatched);
    this.context.note(life.join(beginning, router.incarnation));
    const result = await copyAnswer(
      this.context.parts.routers,
      router.controlAddress,
      this.context.answer,
    );
    this.context.answer.keep = this.context.answer.tellsOfRun;
    return result === AttachResult.Ended;
  }
}

import {WorkOutcome} from '@wisteriadeal/decisions';
import {StepError} from '@wisteriadeal/platform';
import {BeginVerdict, type BeginAnswer} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import {DispatchRun} from './dispatch-run.js';
import {freshAttemptId} from './identity.js';
import type {BeginFields} from './keeper-session.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import * as life from './request-life.js';
import {AttachResult, copyAnswer} from './router-attacher.js';
import {RunContext, type RunParts} from './run-context.js';
import type {Submission} from './submission.js';
import {
  answerGoneProblem,
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
const MAXIMUM_PEERS_ASKED = 16;

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
    const {parts, answer} = this.context;
    const beginning = this.context.note(life.begin(from));
    let namedSelf = false;
    for (let joins = 0; joins < MAXIMUM_JOINS; joins++) {
      const askedAt = parts.clock.monotonicMilliseconds();
      const verdict = await this.askHolder(beginning);
      if (verdict === undefined) {
        return undefined;
      }
      if (verdict.verdict !== BeginVerdict.JOIN) {
        return this.applyVerdict(beginning, verdict, askedAt);
      }
      if (verdict.router?.incarnation === parts.incarnation()) {
        if (namedSelf && !this.isUnusedCall) {
          this.answerGone(beginning);
          return undefined;
        }
        namedSelf = true;
        parts.holder.abandonUnanswered(this.beginFields(beginning));
        continue;
      }
      if (await this.joined(beginning, verdict)) {
        return undefined;
      }
      await parts.clock.sleep(REJOIN_MILLISECONDS, answer.abandoned);
    }
    this.context.loseOrRefuse(
      beginning,
      'the router that runs it is out of reach',
      'join',
      '',
    );
    return undefined;
  }

  /**
   * The holder names this router, which knows nothing of the request any more. A
   * begin whose answer was lost is released by the abandon; what still names this
   * router after that is settled, and its answer is no longer kept.
   */
  private answerGone(beginning: life.Beginning): void {
    this.context.releaseSlot(beginning, WorkOutcome.NotDispatched);
    this.context.note(life.lose(beginning));
    this.context.answer.finish({
      problem: answerGoneProblem('').forRequest(
        this.context.submission.requestId,
      ),
    });
  }

  private get isUnusedCall(): boolean {
    const {submission, parts} = this.context;
    return (
      !submission.idempotent &&
      parts.dispatchedCalls.isUnused(submission.requestId)
    );
  }

  private beginFields(beginning: life.Beginning): BeginFields {
    const {submission, parts} = this.context;
    return {
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
      claimUnused: this.isUnusedCall,
    };
  }

  private async askHolder(
    beginning: life.Beginning,
  ): Promise<BeginAnswer | undefined> {
    try {
      return await this.context.parts.holder.begin(this.beginFields(beginning));
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

  private async applyVerdict(
    beginning: life.Beginning,
    answer: BeginAnswer,
    askedAt: number,
  ): Promise<life.Reserved | life.Resuming | undefined> {
    const {grantId, holder, witness, resume} = answer;
    const reservation = {grantId, holder, witness, askedAt};
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
    if (
      answer.verdict === BeginVerdict.ANSWER_GONE &&
      (await this.foundAtPeer(beginning))
    ) {
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
      void this.context.parts.holder.abandon({
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

  /**
   * The log knows the bill, but this holder not the router: the request ran in
   * another data centre, whose router may keep the answer. Such retries are rare,
   * so a few routers are asked in turn instead of keeping an index of answers.
   */
  private async foundAtPeer(beginning: life.Beginning): Promise<boolean> {
    const {parts, answer} = this.context;
    for (const peer of parts.peers().slice(0, MAXIMUM_PEERS_ASKED)) {
      const {controlAddress} = peer;
      const result = await copyAnswer(parts.routers, controlAddress, answer);
      if (result === AttachResult.Ended) {
        this.context.releaseSlot(beginning, WorkOutcome.NotDispatched);
        this.context.note(life.join(beginning, peer.incarnation));
        answer.keep = answer.tellsOfRun;
        return true;
      }
    }
    return false;
  }

  /** Copies another router's answer; false where it was lost on the way. */
  private async joined(
    beginning: life.Beginning,
    verdict: BeginAnswer,
  ): Promise<boolean> {
    const {router} = verdict;
    if (router === undefined) {
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

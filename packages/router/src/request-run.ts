import {create} from '@bufbuild/protobuf';
import {WorkOutcome} from '@wisteriadeal/decisions';
import {
  Fate,
  StepError,
  type Clock,
  type RandomSource,
} from '@wisteriadeal/platform';
import type {EventLog, Metrics} from '@wisteriadeal/runtime';
import {BeginVerdict, BillSchema, type BeginAnswer} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import {charge} from './bound.js';
import type {RunResult} from './endpoint-work.js';
import type {HolderClient} from './holder-client.js';
import {freshAttemptId} from './identity.js';
import type {LoadDispatcher} from './load-dispatcher.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import * as life from './request-life.js';
import {
  AttachResult,
  copyAnswer,
  type RouterConnector,
} from './router-attacher.js';
import type {Submission} from './submission.js';
import {
  billOutcome,
  drainingProblem,
  problemOfRefusal,
  problemOfVerdict,
} from './verdicts.js';

/** What every run needs of its router. */
export interface RunParts {
  readonly holder: HolderClient;
  readonly dispatcher: LoadDispatcher;
  readonly routers: RouterConnector;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly incarnation: () => string;
  readonly draining: () => boolean;
}

/** Endpoints tried for one request, as long as none was reached. */
const MAXIMUM_PLACEMENTS = 3;

/**
 * A joined router that is lost makes the request begin again; its holder needs a
 * moment to notice the loss.
 */
const MAXIMUM_JOINS = 5;
const REJOIN_MILLISECONDS = 300;

/** The life of one request at this router, from its submission to its bill. */
export class RequestRun {
  private avoidEndpoint: string | undefined;
  private isRetry = false;

  constructor(
    private readonly parts: RunParts,
    private readonly submission: Submission,
    private readonly answer: Answer,
  ) {}

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
      const begun = this.submission.keyed
        ? await this.begin(received)
        : await this.queueAndBegin(received);
      if (begun?.kind === life.LifeKind.Resuming) {
        await this.continueAttempt(begun);
      } else if (begun !== undefined) {
        await this.execute(begun);
      }
    } catch (error) {
      this.parts.log.error('request-run-broke', {
        ...this.fields(),
        reason: error instanceof Error ? error.message : String(error),
      });
      this.answer.finish({
        problem: new Problem(ProblemName.OutcomeUnknown, {
          detail: 'an error inside the router',
        }),
      });
    }
  }

  private async queueAndBegin(received: life.Received) {
    const placed = await this.findEndpoint(life.queue(received));
    return placed?.kind === life.LifeKind.Placed
      ? this.begin(placed)
      : undefined;
  }

  private async begin(
    from: life.Received | life.Placed,
  ): Promise<life.Reserved | life.Resuming | undefined> {
    const beginning = this.note(life.begin(from));
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
      await this.parts.clock.sleep(REJOIN_MILLISECONDS, this.answer.abandoned);
    }
    this.loseOrRefuse(
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
    const {submission, parts} = this;
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
      this.loseOrRefuse(beginning, error.reason, error.step, error.peer);
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
        this.note(life.reserve(beginning, reservation)),
      );
    }
    if (answer.verdict === BeginVerdict.RESUME && resume !== undefined) {
      this.releaseSlot(beginning, WorkOutcome.NotDispatched);
      return this.note(life.resume(beginning, reservation, resume));
    }
    if (answer.verdict === BeginVerdict.UNAVAILABLE) {
      this.loseOrRefuse(
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
      this.refuse(beginning, problem);
    } else {
      this.releaseSlot(beginning, WorkOutcome.NotDispatched);
      this.note(life.lose(beginning));
      this.answer.finish({problem});
    }
    return undefined;
  }

  /** Copies another router's answer; false where it was lost on the way. */
  private async joined(
    beginning: life.Beginning,
    verdict: BeginAnswer,
  ): Promise<boolean> {
    const {router} = verdict;
    if (
      router === undefined ||
      router.incarnation === this.parts.incarnation()
    ) {
      return false;
    }
    this.releaseSlot(beginning, WorkOutcome.NotDispatched);
    this.note(life.join(beginning, router.incarnation));
    const result = await copyAnswer(
      this.parts.routers,
      router.controlAddress,
      this.answer,
    );
    this.answer.keep ||= result === AttachResult.Ended;
    return result === AttachResult.Ended;
  }

  private async findEndpoint(
    queued: life.Queued,
  ): Promise<life.Placed | life.Reserved | undefined> {
    this.note(queued);
    const {submission} = this;
    const placing = await this.parts.dispatcher.place(
      {
        ...submission,
        isRetry: this.isRetry,
        ...(this.avoidEndpoint === undefined
          ? {}
          : {avoidEndpoint: this.avoidEndpoint}),
      },
      this.answer.abandoned,
    );
    if (placing.ok) {
      return this.note(life.place(queued, placing.val));
    }
    this.refuse(queued, problemOfRefusal(placing.val, submission));
    return undefined;
  }

  private async execute(from: life.Reserved): Promise<void> {
    let reserved = from;
    for (let tries = 0; tries < MAXIMUM_PLACEMENTS; tries++) {
      const placed =
        reserved.placement === undefined
          ? await this.findEndpoint(life.queue(reserved))
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
    this.refuse(
      reserved,
      new Problem(ProblemName.Unavailable, {
        detail: 'no endpoint could be reached',
        step: 'dispatch',
        peer: this.avoidEndpoint ?? '',
        retryAfterMilliseconds: REJOIN_MILLISECONDS,
      }),
    );
  }

  /** Returns the state before dispatch where the endpoint was not reached. */
  private async dispatch(
    reserved: life.Reserved,
  ): Promise<life.Reserved | undefined> {
    const {submission, parts} = this;
    const endpoint = reserved.placement?.endpoint ?? '';
    const attemptId = freshAttemptId(submission.requestId, parts.random);
    const dispatching = this.note(
      life.dispatch(reserved, {endpoint, attemptId}),
    );
    parts.holder.dispatching(
      {...submission, reservation: reserved.reservation},
      dispatching.attempt,
    );
    try {
      const result = await submission.work.start(
        dispatching.attempt,
        this.answer,
        {started: this.startedHook(dispatching)},
      );
      this.finish(dispatching, result);
      return undefined;
    } catch (error) {
      if (!(error instanceof StepError) || error.fate !== Fate.NotDone) {
        throw error;
      }
      this.parts.log.warn('endpoint-not-reached', {
        ...this.fields(),
        step: error.step,
        peer: error.peer,
        reason: error.reason,
      });
      this.release(endpoint, WorkOutcome.Failed);
      this.avoidEndpoint = endpoint;
      this.isRetry = true;
      return this.note(life.unreached(dispatching));
    }
  }

  private async continueAttempt(resuming: life.Resuming): Promise<void> {
    const {submission, parts} = this;
    parts.holder.dispatching(
      {...submission, reservation: resuming.reservation},
      resuming.attempt,
    );
    const result = await submission.work.resume(resuming.attempt, this.answer, {
      started: this.startedHook(resuming),
    });
    this.finish(resuming, result);
  }

  private startedHook(from: life.AfterDispatch): () => void {
    let first = true;
    return () => {
      if (first) {
        first = false;
        this.note(life.stream(from));
        this.parts.dispatcher.firstToken(this.submission.requestId);
      }
    };
  }

  /** The caller is told at once; the bill is repeated until acknowledged. */
  private finish(from: life.AfterDispatch, result: RunResult): void {
    const settling = this.note(life.settle(from, result.outcome));
    const {problem, usage} = result;
    this.answer.keep = true;
    this.answer.finish(
      problem === undefined
        ? {whole: true}
        : {problem: problem.forRequest(this.submission.requestId)},
    );
    const outcome = result.cancelled
      ? WorkOutcome.Cancelled
      : result.outcome === AnswerOutcome.Answered
        ? WorkOutcome.Answered
        : WorkOutcome.Failed;
    this.release(from.attempt.endpoint, outcome, usage);
    this.parts.metrics.increment(`request.${result.outcome}`);
    void this.bill(settling, result).then(() => {
      this.note(life.end(settling));
    });
  }

  private bill(settling: life.Settling, result: RunResult): Promise<void> {
    const {requestId, organisation, caller, boundTokens} = this.submission;
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
    return this.parts.holder.settle(
      {requestId, organisation, reservation},
      bill,
    );
  }

  /**
   * A new run may word its answer otherwise. Where the caller has seen part of an
   * earlier one, going on from there would mix two answers into one that looks
   * whole; the caller is told instead, and may ask for the whole anew.
   */
  private checkReserved(reserved: life.Reserved): life.Reserved | undefined {
    if (this.answer.events.length > 0 || this.submission.lastEvent >= 0) {
      const {reservation} = reserved;
      this.parts.holder.abandon({...this.submission, reservation});
      this.answer.finish({
        problem: new Problem(ProblemName.FailedAfterRunning, {
          detail: 'the stream that was seen in part can no longer be continued',
          step: 'resume',
          requestId: this.submission.requestId,
        }),
      });
      return undefined;
    }
    if (this.parts.draining()) {
      this.refuse(reserved, drainingProblem());
      return undefined;
    }
    return reserved;
  }

  /**
   * No holder gave a verdict. Without a key the request is certainly not run.
   * With a key, an earlier try may have run elsewhere, so only that is said.
   */
  private loseOrRefuse(
    beginning: life.Beginning,
    reason: string,
    step: string,
    peer: string,
    retryAfterMilliseconds = REJOIN_MILLISECONDS,
  ): void {
    const details = {detail: reason, step, peer, retryAfterMilliseconds};
    if (!this.submission.keyed) {
      this.refuse(beginning, new Problem(ProblemName.Unavailable, details));
      return;
    }
    this.releaseSlot(beginning, WorkOutcome.NotDispatched);
    this.note(life.lose(beginning));
    const problem = new Problem(
      ProblemName.Unavailable,
      {
        ...details,
        detail: `${reason}; this try did not run, an earlier one may have`,
      },
      AnswerOutcome.Unknown,
    );
    this.answer.finish({
      problem: problem.forRequest(this.submission.requestId),
    });
  }

  private refuse(from: life.BeforeDispatch, problem: Problem): void {
    this.releaseSlot(from, WorkOutcome.NotDispatched);
    if ('reservation' in from && from.reservation !== undefined) {
      const {reservation} = from;
      this.parts.holder.abandon({...this.submission, reservation});
    }
    this.note(life.refuse(from));
    this.parts.metrics.increment('request.not-run');
    this.parts.log.info('request-refused', {
      ...this.fields(),
      problem: problem.problem,
      step: problem.details.step,
      peer: problem.details.peer,
    });
    this.answer.finish({
      problem: problem.forRequest(this.submission.requestId),
    });
  }

  /** Gives back the endpoint's slot that a state before dispatch holds. */
  private releaseSlot(from: life.BeforeDispatch, outcome: WorkOutcome): void {
    const endpoint = 'placement' in from ? from.placement?.endpoint : undefined;
    if (endpoint !== undefined) {
      this.release(endpoint, outcome);
    }
  }

  private release(
    endpoint: string,
    outcome: WorkOutcome,
    usage?: RunResult['usage'],
  ): void {
    this.parts.dispatcher.finished(this.submission.requestId, {
      endpoint,
      outcome,
      promptTokens: usage?.promptTokens ?? 0,
      outputTokens: usage?.completionTokens ?? 0,
    });
  }

  private fields() {
    const {requestId, organisation} = this.submission;
    return {request: requestId, organisation};
  }

  private note<State extends life.Life>(state: State): State {
    this.answer.note(state);
    return state;
  }
}

import {WorkOutcome} from '@wisteriadeal/decisions';
import type {Clock, RandomSource} from '@wisteriadeal/platform';
import type {EventFields, EventLog, Metrics} from '@wisteriadeal/runtime';

import type {ProcessIdentity} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import type {DispatchedCalls} from './dispatched-calls.js';
import type {RunResult} from './endpoint-work.js';
import type {HolderClient} from './holder-client.js';
import type {LoadDispatcher, Placing} from './load-dispatcher.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import * as life from './request-life.js';
import type {RouterConnector} from './router-attacher.js';
import type {Submission} from './submission.js';
import {problemOfRefusal} from './verdicts.js';

/** What every run needs of its router. */
export interface RunParts {
  readonly holder: HolderClient;
  readonly dispatcher: LoadDispatcher;
  readonly routers: RouterConnector;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly dispatchedCalls: DispatchedCalls;
  readonly incarnation: () => string;
  readonly draining: () => boolean;
  /** The other routers that membership names. */
  readonly peers: () => readonly ProcessIdentity[];
}

/** When a request that found nobody to take it may be sent again. */
export const RETRY_MILLISECONDS = 300;

/** One request at this router, with what every part of its life needs. */
export class RunContext {
  /** The endpoint that could not be reached. */
  private avoidEndpoint: string | undefined;

  constructor(
    readonly parts: RunParts,
    readonly submission: Submission,
    readonly answer: Answer,
  ) {}

  /** Fields of a log line about it; no prompt and no credential. */
  get fields(): EventFields {
    const {requestId, organisation} = this.submission;
    return {request: requestId, organisation};
  }

  /** Waits for an endpoint. */
  offer(): Promise<Placing> {
    const avoid =
      this.avoidEndpoint === undefined
        ? {}
        : {avoidEndpoint: this.avoidEndpoint};
    const isRetry = this.avoidEndpoint !== undefined;
    return this.parts.dispatcher.place(
      {...this.submission, isRetry, ...avoid},
      this.answer.abandoned,
    );
  }

  /** Waits for an endpoint; refuses the request where there is none. */
  async findEndpoint(
    queued: life.Queued,
  ): Promise<life.Placed | life.Reserved | undefined> {
    this.note(queued);
    const placing = await this.offer();
    if (placing.ok) {
      return this.note(life.place(queued, placing.val));
    }
    this.refuse(queued, problemOfRefusal(placing.val, this.submission));
    return undefined;
  }

  /** The endpoint gave no connection; the next one is another. */
  avoid(endpoint: string): void {
    this.release(endpoint, WorkOutcome.Failed);
    this.avoidEndpoint = endpoint;
  }

  /**
   * No holder gave a verdict. Without a key the request is certainly not run.
   * With a key, an earlier try may have run elsewhere, so only that is said.
   */
  loseOrRefuse(
    beginning: life.Beginning,
    reason: string,
    step: string,
    peer: string,
    retryAfterMilliseconds = RETRY_MILLISECONDS,
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

  /** Ends it as not run; what was reserved and placed is given back. */
  refuse(from: life.BeforeDispatch, problem: Problem): void {
    this.releaseSlot(from, WorkOutcome.NotDispatched);
    if ('reservation' in from && from.reservation !== undefined) {
      const {reservation} = from;
      void this.parts.holder.abandon({...this.submission, reservation});
    }
    this.note(life.refuse(from));
    this.parts.metrics.increment('request.not-run');
    this.parts.log.info('request-refused', {
      ...this.fields,
      problem: problem.problem,
      step: problem.details.step,
      peer: problem.details.peer,
    });
    this.answer.finish({
      problem: problem.forRequest(this.submission.requestId),
    });
  }

  /** Gives back the endpoint's slot that a state before dispatch holds. */
  releaseSlot(from: life.BeforeDispatch, outcome: WorkOutcome): void {
    const endpoint = 'placement' in from ? from.placement?.endpoint : undefined;
    if (endpoint !== undefined) {
      this.release(endpoint, outcome);
    }
  }

  /** Tells the decisions that the work at an endpoint has ended. */
  release(
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

  /** Notes the state for whoever asks what became of the request. */
  note<State extends life.Life>(state: State): State {
    this.answer.note(state);
    return state;
  }
}

import {WorkOutcome} from '@wisteriadeal/decisions';
import type {Clock, RandomSource} from '@wisteriadeal/platform';
import type {EventFields, EventLog, Metrics} from '@wisteriadeal/runtime';

import type {ProcessIdentity} from '@wisteriadeal/schema';

import type {Answer} from './answer.js';
import type {DispatchedCalls} from './dispatched-calls.js';
import type {RunResult} from './endpoint-work.js';
import type {HolderClient} from './holder-client.js';
import type {LoadDispatcher, PlacementResult} from './load-dispatcher.js';
import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import * as requestState from './request-state.js';
import type {RouterConnector} from './router-connector.js';
import type {Submission} from './submission.js';
import {problemOfRefusal} from './verdicts.js';

/** Dependencies of the runs of a router. */
export interface RunDependencies {
  readonly holderClient: HolderClient;
  readonly dispatcher: LoadDispatcher;
  readonly routerConnector: RouterConnector;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly dispatchedCalls: DispatchedCalls;
  readonly incarnation: () => string;
  readonly draining: () => boolean;
  /** The other routers in the membership. */
  readonly peers: () => readonly ProcessIdentity[];
}

/** Retry delay returned if no holder or endpoint was reached. */
export const RETRY_AFTER_MILLISECONDS = 300;

/** State and operations shared by all phases of one request at this router. */
export class RunContext {
  /** The endpoint that failed last; the next placement avoids it. */
  private avoidEndpoint: string | undefined;

  constructor(
    readonly dependencies: RunDependencies,
    readonly submission: Submission,
    readonly answer: Answer,
  ) {}

  /** Log fields of the request; never the prompt or the credential. */
  get logFields(): EventFields {
    const {requestId, organisation} = this.submission;
    return {request: requestId, organisation};
  }

  /** Waits until the request is placed at an endpoint, refused or withdrawn. */
  requestPlacement(): Promise<PlacementResult> {
    const avoided =
      this.avoidEndpoint === undefined
        ? {}
        : {avoidEndpoint: this.avoidEndpoint};
    const isRetry = this.avoidEndpoint !== undefined;
    return this.dependencies.dispatcher.place(
      {...this.submission, isRetry, ...avoided},
      this.answer.abandoned,
    );
  }

  /** Waits for an endpoint; refuses the request if it is not placed. */
  async findEndpoint(
    queued: requestState.Queued,
  ): Promise<requestState.Placed | requestState.Reserved | undefined> {
    this.recordState(queued);
    const placement = await this.requestPlacement();
    if (placement.ok) {
      return this.recordState(requestState.place(queued, placement.val));
    }
    this.refuse(queued, problemOfRefusal(placement.val, this.submission));
    return undefined;
  }

  /** Releases a failed endpoint and avoids it in the next placement. */
  releaseAndAvoid(endpoint: string): void {
    this.release(endpoint, WorkOutcome.Failed);
    this.avoidEndpoint = endpoint;
  }

  /**
   * Ends a request for which no holder gave a verdict. Without a key the request
   * certainly did not run. With a key an earlier attempt may have run elsewhere,
   * so the outcome is reported as unknown.
   */
  failBegin(
    beginning: requestState.Beginning,
    reason: string,
    step: string,
    peer: string,
    retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS,
  ): void {
    const details = {detail: reason, step, peer, retryAfterMilliseconds};
    if (!this.submission.keyed) {
      this.refuse(beginning, new Problem(ProblemName.Unavailable, details));
      return;
    }
    this.releaseSlot(beginning, WorkOutcome.NotDispatched);
    this.recordState(requestState.endAsUnknown(beginning));
    const problem = new Problem(
      ProblemName.Unavailable,
      {
        ...details,
        detail: `${reason}; this attempt did not run, but an earlier one may have`,
      },
      AnswerOutcome.Unknown,
    );
    this.answer.finish({
      problem: problem.forRequest(this.submission.requestId),
    });
  }

  /** Ends the request as not run; releases its reservation and its slot. */
  refuse(from: requestState.BeforeDispatch, problem: Problem): void {
    this.releaseSlot(from, WorkOutcome.NotDispatched);
    if ('reservation' in from && from.reservation !== undefined) {
      const {reservation} = from;
      void this.dependencies.holderClient.abandon({
        ...this.submission,
        reservation,
      });
    }
    this.recordState(requestState.refuse(from));
    this.dependencies.metrics.increment('request.not-run');
    this.dependencies.log.info('request-refused', {
      ...this.logFields,
      problem: problem.problem,
      step: problem.details.step,
      peer: problem.details.peer,
    });
    this.answer.finish({
      problem: problem.forRequest(this.submission.requestId),
    });
  }

  /** Releases the endpoint slot that a state before dispatch occupies. */
  releaseSlot(from: requestState.BeforeDispatch, outcome: WorkOutcome): void {
    const endpoint = 'placement' in from ? from.placement?.endpoint : undefined;
    if (endpoint !== undefined) {
      this.release(endpoint, outcome);
    }
  }

  /** Releases an endpoint slot and reports the outcome to the dispatcher. */
  release(
    endpoint: string,
    outcome: WorkOutcome,
    usage?: RunResult['usage'],
  ): void {
    this.dependencies.dispatcher.finished(this.submission.requestId, {
      endpoint,
      outcome,
      promptTokens: usage?.promptTokens ?? 0,
      outputTokens: usage?.completionTokens ?? 0,
    });
  }

  /** Records the state for inspection and for the log; returns it. */
  recordState<State extends requestState.RequestState>(state: State): State {
    this.answer.recordState(state);
    return state;
  }
}

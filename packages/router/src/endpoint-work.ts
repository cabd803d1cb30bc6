import type {EngineUsage} from '@wisteriadeal/platform';

import type {Answer} from './answer.js';
import type {Problem} from './problem.js';
import type {Attempt, RunOutcome} from './request-life.js';

/** How work at an endpoint ended. */
export interface RunResult {
  readonly outcome: RunOutcome;
  /** The caller hung up and the work was cancelled. */
  readonly cancelled: boolean;
  /** Undefined where nobody could tell: the bound is charged, unconfirmed. */
  readonly usage: EngineUsage | undefined;
  /** Why there is no whole answer. */
  readonly problem: Problem | undefined;
}

/** What a run tells while it goes on. */
export interface RunHooks {
  /** The endpoint has begun to answer. */
  started(): void;
}

/** The work of one request, as its kind of endpoint does it. */
export abstract class EndpointWork {
  /**
   * Dispatches an attempt and copies what comes into the answer.
   *
   * @throws StepError with fate NotDone, only where the attempt certainly did
   *     not reach the endpoint. Every other failure is a result.
   */
  abstract start(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult>;

  /** Continues an attempt that another router dispatched; never throws. */
  abstract resume(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult>;
}

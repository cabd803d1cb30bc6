import type {EngineUsage} from '@wisteriadeal/platform';

import type {Answer} from './answer.js';
import type {Problem} from './problem.js';
import type {Attempt, RunOutcome} from './request-state.js';

/** Result of the work at an endpoint. */
export interface RunResult {
  readonly outcome: RunOutcome;
  /** Whether the work was cancelled because the caller disconnected. */
  readonly cancelled: boolean;
  /**
   * Tokens used. If undefined, the endpoint could not report them: the full
   * reservation is charged and the bill is marked unconfirmed.
   */
  readonly usage: EngineUsage | undefined;
  /** Why the answer is incomplete; undefined if it is complete. */
  readonly problem: Problem | undefined;
}

/** Callbacks of a running attempt. */
export interface RunHooks {
  /** Called for each part of the answer that arrives. */
  partReceived(): void;
}

/** The work of one request at its kind of endpoint. */
export abstract class EndpointWork {
  /**
   * Dispatches an attempt and copies the endpoint's response into the answer.
   *
   * @throws StepError with fate NotDone, only if the attempt certainly did not
   *     reach the endpoint. Every other failure is returned as a result.
   */
  abstract start(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult>;

  /** Resumes an attempt that another router dispatched; never throws. */
  abstract resume(
    attempt: Attempt,
    answer: Answer,
    hooks: RunHooks,
  ): Promise<RunResult>;
}

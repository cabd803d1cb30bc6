import {STATUS_CODES} from 'node:http';

/** What a caller is told of a request; never blurred. */
export enum AnswerOutcome {
  /** The whole answer was sent. */
  Answered = 'answered',
  /** It never reached an endpoint, and this submission never will. */
  NotRun = 'not-run',
  /** An endpoint worked on it, and there is no whole answer. */
  Failed = 'failed',
  /** Nobody can tell whether it ran. */
  Unknown = 'unknown',
}

/** Names of the problem types; the type is `urn:wisteriadeal:problem:NAME`. */
export enum ProblemName {
  MalformedRequest = 'malformed-request',
  MissingIdempotencyKey = 'missing-idempotency-key',
  Unauthorised = 'unauthorised',
  BudgetExhausted = 'budget-exhausted',
  ForbiddenService = 'forbidden-service',
  UnknownModel = 'unknown-model',
  UnknownService = 'unknown-service',
  UnknownRequest = 'unknown-request',
  RequestTimeout = 'request-timeout',
  KeyReused = 'key-reused',
  BodyTooLarge = 'body-too-large',
  HeadersTooLarge = 'headers-too-large',
  Overloaded = 'overloaded',
  Unavailable = 'unavailable',
  Draining = 'draining',
  FailedAfterRunning = 'failed-after-running',
  OutcomeUnknown = 'outcome-unknown',
  AnswerGone = 'answer-gone',
}

const STATUSES: Readonly<Record<ProblemName, number>> = {
  [ProblemName.MalformedRequest]: 400,
  [ProblemName.MissingIdempotencyKey]: 400,
  [ProblemName.Unauthorised]: 401,
  [ProblemName.BudgetExhausted]: 402,
  [ProblemName.ForbiddenService]: 403,
  [ProblemName.UnknownModel]: 404,
  [ProblemName.UnknownService]: 404,
  [ProblemName.UnknownRequest]: 404,
  [ProblemName.RequestTimeout]: 408,
  [ProblemName.KeyReused]: 422,
  [ProblemName.BodyTooLarge]: 413,
  [ProblemName.HeadersTooLarge]: 431,
  [ProblemName.Overloaded]: 429,
  [ProblemName.Unavailable]: 503,
  [ProblemName.Draining]: 503,
  [ProblemName.FailedAfterRunning]: 502,
  [ProblemName.OutcomeUnknown]: 504,
  [ProblemName.AnswerGone]: 410,
};

const OUTCOMES: Partial<Readonly<Record<ProblemName, AnswerOutcome>>> = {
  [ProblemName.FailedAfterRunning]: AnswerOutcome.Failed,
  [ProblemName.OutcomeUnknown]: AnswerOutcome.Unknown,
  [ProblemName.AnswerGone]: AnswerOutcome.Answered,
};

/** What may be said of a problem besides its name. */
export interface ProblemDetails {
  readonly detail: string;
  readonly requestId?: string;
  readonly retryAfterMilliseconds?: number;
  /** The step and the peer at which it arose. */
  readonly step?: string;
  readonly peer?: string;
}

/**
 * A final answer that is not the one asked for, as problem details (RFC 9457).
 *
 * @example
 * ```ts
 * throw new Problem(ProblemName.UnknownModel, {detail: 'no model "x"'});
 * ```
 */
export class Problem extends Error {
  override readonly name = 'Problem';

  constructor(
    readonly problem: ProblemName,
    readonly details: ProblemDetails,
    /** Where the outcome differs from the name's own. */
    private readonly otherOutcome?: AnswerOutcome,
  ) {
    super(`${problem}: ${details.detail}`);
  }

  /** HTTP status code. */
  get status(): number {
    return STATUSES[this.problem];
  }

  /** What the caller may conclude about the request. */
  get outcome(): AnswerOutcome {
    return this.otherOutcome ?? OUTCOMES[this.problem] ?? AnswerOutcome.NotRun;
  }

  /** Seconds for the `Retry-After` header, rounded up. */
  get retryAfterSeconds(): number | undefined {
    const milliseconds = this.details.retryAfterMilliseconds;
    return milliseconds === undefined
      ? undefined
      : Math.max(1, Math.ceil(milliseconds / 1_000));
  }

  /** The same problem for a named request. */
  forRequest(requestId: string): Problem {
    return new Problem(
      this.problem,
      {...this.details, requestId},
      this.otherOutcome,
    );
  }

  /** The problem-details document. */
  toJSON(): Readonly<Record<string, string | number>> {
    return {
      type: `urn:wisteriadeal:problem:${this.problem}`,
      title: STATUS_CODES[this.status] ?? this.problem,
      status: this.status,
      outcome: this.outcome,
      ...this.details,
    };
  }
}

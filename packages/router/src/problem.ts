import {STATUS_CODES} from 'node:http';

/** Outcome of a request as reported to its caller. */
export enum AnswerOutcome {
  /** The complete answer was sent. */
  Answered = 'answered',
  /** The request never reached an endpoint, and this submission never will. */
  NotRun = 'not-run',
  /** An endpoint worked on the request, but there is no complete answer. */
  Failed = 'failed',
  /** It cannot be determined whether the request ran. */
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

/** Details of a problem besides its name. */
export interface ProblemDetails {
  readonly detail: string;
  readonly requestId?: string;
  readonly retryAfterMilliseconds?: number;
  /** The step in which the problem arose. */
  readonly step?: string;
  /** The peer at which the problem arose. */
  readonly peer?: string;
}

/**
 * A request's end without the requested answer, as problem details (RFC 9457).
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
    /** Outcome, if it differs from the default of the problem's name. */
    private readonly customOutcome?: AnswerOutcome,
  ) {
    super(`${problem}: ${details.detail}`);
  }

  /** HTTP status code. */
  get status(): number {
    return STATUSES[this.problem];
  }

  /** Outcome of the request as reported to its caller. */
  get outcome(): AnswerOutcome {
    return this.customOutcome ?? OUTCOMES[this.problem] ?? AnswerOutcome.NotRun;
  }

  /** Seconds for the `Retry-After` header, rounded up, at least 1. */
  get retryAfterSeconds(): number | undefined {
    const milliseconds = this.details.retryAfterMilliseconds;
    return milliseconds === undefined
      ? undefined
      : Math.max(1, Math.ceil(milliseconds / 1_000));
  }

  /** Returns a copy of the problem with a request identifier. */
  forRequest(requestId: string): Problem {
    return new Problem(
      this.problem,
      {...this.details, requestId},
      this.customOutcome,
    );
  }

  /** Returns the problem-details document. */
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

/** Why the system itself ends a request. */
export enum OwnReason {
  NoConfiguration = 'no-configuration',
  NoRoute = 'no-route',
  NoKey = 'no-key',
  HeadersTooLarge = 'headers-too-large',
  BodyTooLarge = 'body-too-large',
  Stopping = 'stopping',
  HostBehind = 'host-behind',
  NoEndpoint = 'no-endpoint',
  EndpointsRefused = 'endpoints-refused',
  EndpointsUnreachable = 'endpoints-unreachable',
  DeadlinePassed = 'deadline-passed',
  BudgetExhausted = 'budget-exhausted',
  BudgetUnavailable = 'budget-unavailable',
  AnswerLost = 'answer-lost',
  TimedOut = 'timed-out',
  Internal = 'internal-error',
}

/** When to come back to a host that stops: another takes the next connection. */
export const STOPPING_RETRY_MILLISECONDS = 100;

/** An answer of the system's own. */
export interface OwnAnswer {
  readonly status: number;
  readonly reason: OwnReason;
  /** The request has not run and never will; when to come back. */
  readonly retryAfterMilliseconds: number | undefined;
}

/**
 * The request has not run and never will.
 *
 * @param retryAfterMilliseconds When a new try may fare better.
 */
export function notRun(
  reason: OwnReason,
  retryAfterMilliseconds: number,
): OwnAnswer {
  return {status: 503, reason, retryAfterMilliseconds};
}

/** A final answer that promises nothing about what has run. */
export function failed(status: number, reason: OwnReason): OwnAnswer {
  return {status, reason, retryAfterMilliseconds: undefined};
}

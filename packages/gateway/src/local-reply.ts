/** Reason for a reply that the gateway generates itself. */
export enum LocalReplyReason {
  NoConfiguration = 'no-configuration',
  /** A newer configuration may allow what the one in force does not. */
  ConfigurationOutdated = 'configuration-outdated',
  NoRoute = 'no-route',
  NoKey = 'no-key',
  HeadersTooLarge = 'headers-too-large',
  BodyTooLarge = 'body-too-large',
  /** The process had no room for the rest of the request's body. */
  MemoryFull = 'memory-full',
  Stopping = 'stopping',
  HostBehind = 'host-behind',
  NoEndpoint = 'no-endpoint',
  /** All endpoints of the service are in data centres that are evacuated. */
  Evacuated = 'evacuated',
  /** All endpoints that are left are cold, and this host has no turn at them. */
  EndpointsCold = 'endpoints-cold',
  /** All endpoints that are left take no request of this host now, as they say. */
  EndpointsInNeed = 'endpoints-in-need',
  /** What began the stream that the caller takes up is not known. */
  OriginUnknown = 'origin-unknown',
  /** All endpoints of the build that began the stream were lost, and may be back. */
  BuildLost = 'build-lost',
  /** The build that began the stream has no endpoint; the caller may begin anew. */
  BuildGone = 'build-gone',
  /** The engines can't begin the request in time. */
  EnginesSaturated = 'engines-saturated',
  EndpointsRefused = 'endpoints-refused',
  EndpointsUnreachable = 'endpoints-unreachable',
  /** This host lacks what it takes to open a connection. */
  HostShort = 'host-short-of-connections',
  DeadlinePassed = 'deadline-passed',
  BudgetExhausted = 'budget-exhausted',
  BudgetUnavailable = 'budget-unavailable',
  AnswerLost = 'answer-lost',
  CrashSuspect = 'crash-suspect',
  TimedOut = 'timed-out',
  Internal = 'internal-error',
}

/**
 * Retry delay given by a host that closes the connection: the caller's next one goes to
 * another host.
 */
export const OTHER_HOST_RETRY_AFTER_MILLISECONDS = 100;

/** A reply that the gateway generates itself. */
export interface LocalReply {
  readonly status: number;
  readonly reason: LocalReplyReason;
  /**
   * Set if the request has not run and never will: the delay after which to
   * retry.
   */
  readonly retryAfterMilliseconds: number | undefined;
}

/**
 * A reply to a request that has not run and never will.
 *
 * @param retryAfterMilliseconds Delay after which a retry may succeed.
 */
export function notExecutedReply(
  reason: LocalReplyReason,
  retryAfterMilliseconds: number,
): LocalReply {
  return {status: 503, reason, retryAfterMilliseconds};
}

/** Refuses a request during a stop; the caller's next connection goes to another host. */
export const STOPPING_REPLY = notExecutedReply(
  LocalReplyReason.Stopping,
  OTHER_HOST_RETRY_AFTER_MILLISECONDS,
);

/** Time in which others' bodies have left the memory. */
const MEMORY_RETRY_AFTER_MILLISECONDS = 500;

/** Refuses a request whose body there was no room for. */
export const MEMORY_FULL_REPLY = notExecutedReply(
  LocalReplyReason.MemoryFull,
  MEMORY_RETRY_AFTER_MILLISECONDS,
);

/** A final reply that does not state whether the request has run. */
export function failureReply(
  status: number,
  reason: LocalReplyReason,
): LocalReply {
  return {status, reason, retryAfterMilliseconds: undefined};
}

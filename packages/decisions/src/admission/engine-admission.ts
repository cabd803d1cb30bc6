/** A request to an engine that is not sent yet. */
export interface AdmissionRequest {
  /** The order in which engines run requests, 0 first. */
  readonly priority: number;
  /** Whether no route of the service is more urgent. */
  readonly isMostUrgent: boolean;
  readonly organisation: string;
  /** The organisation's part of the capacity, in a unit that all of them share. */
  readonly weight: number;
  /** Target time from the arrival to the first event, milliseconds. */
  readonly objectiveMilliseconds: number;
  /** When the first event is due, on the monotonic clock in milliseconds. */
  readonly dueAt: number;
  /** When the caller stops waiting, on the monotonic clock in milliseconds. */
  readonly deadlineAt: number;
  /** Whether the caller was probably refused before. */
  readonly isReturning: boolean;
}

/** What happens to a request before its first attempt. */
export enum AdmissionVerdict {
  Send = 'send',
  Queue = 'queue',
  Refuse = 'refuse',
}

/** What a decision rests on, for log lines. */
export interface AdmissionBelief {
  /** Part of such requests that is sent, 0 to 1. */
  readonly admittedShare: number;
  /** Expected time to the first event, milliseconds; 0 without observations. */
  readonly expectedMilliseconds: number;
  /** Number of requests whose time to the first event was observed. */
  readonly observations: number;
  /** Age of the oldest observation, milliseconds. */
  readonly ageMilliseconds: number;
}

/** The decision about a request. */
export interface AdmissionDecision {
  readonly verdict: AdmissionVerdict;
  /** Delay after which a retry may succeed, milliseconds; 0 unless refused. */
  readonly retryAfterMilliseconds: number;
  readonly belief: AdmissionBelief;
}

/** A queued request that was decided. */
export interface DecidedRequest<Request> {
  readonly request: Request;
  readonly decision: AdmissionDecision;
}

/** One attempt of a request at an engine. */
export interface SentRequest {
  readonly priority: number;
  readonly objectiveMilliseconds: number;
  /** On the monotonic clock, milliseconds. */
  readonly sentAt: number;
}

/**
 * Decides which requests a host sends to the engines of one service. Times are
 * milliseconds on the monotonic clock.
 */
export abstract class EngineAdmission<Request extends AdmissionRequest> {
  /** Decides on a request that has arrived. A queued one is decided by `advance`. */
  abstract offer(request: Request, now: number): AdmissionDecision;

  /** Decides on queued requests that need not or can't wait any longer. */
  abstract advance(now: number): readonly DecidedRequest<Request>[];

  /** Takes a request out of the queue, if it is there. */
  abstract remove(request: Request): void;

  /** Records that a request was sent. */
  abstract sent(request: SentRequest): void;

  /** Records the first event of a request. */
  abstract began(request: SentRequest, now: number): void;

  /** Records that an engine refused a request as not run. */
  abstract refused(request: SentRequest, now: number): void;

  /** Records that a request ended; it may have begun or not. */
  abstract ended(request: SentRequest): void;
}

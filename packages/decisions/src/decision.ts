/** The next step of a request. */
export enum DecisionKind {
  /** Send the request to the named endpoint. */
  Place = 'place',
  /** The request is queued; a later call returns its placement or refusal. */
  Queue = 'queue',
  /** The request is not run, and will never be placed. */
  Refuse = 'refuse',
}

/** Why a request is refused. In every case the request did not run. */
export enum RefusalReason {
  /**
   * The service and model have no endpoint, or all of their endpoints are
   * leaving.
   */
  NoEndpoint = 'no-endpoint',
  /** The limit on queued requests is reached. */
  QueueFull = 'queue-full',
  /** With the expected wait, the first token would miss the deadline. */
  DeadlineUnreachable = 'deadline-unreachable',
  /** The deadline passed while the request was queued. */
  DeadlinePassed = 'deadline-passed',
  /**
   * Retries made up too large a share of the organisation's recent requests.
   */
  RetryBudgetExhausted = 'retry-budget-exhausted',
  /** The organisation already has more than its share of queued requests. */
  ShareExhausted = 'share-exhausted',
}

/** The request is sent to an endpoint now. */
export interface PlaceDecision {
  readonly kind: DecisionKind.Place;
  readonly requestId: string;
  readonly endpoint: string;
}

/** The request is queued. */
export interface QueueDecision {
  readonly kind: DecisionKind.Queue;
  readonly requestId: string;
}

/** The request is not run. */
export interface RefuseDecision {
  readonly kind: DecisionKind.Refuse;
  readonly requestId: string;
  readonly reason: RefusalReason;
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMilliseconds: number;
}

export type Decision = PlaceDecision | QueueDecision | RefuseDecision;

/** What happens to a request next. */
export enum DecisionKind {
  /** Send it to the endpoint named. */
  Place = 'place',
  /** It waits; a later call returns its placement or refusal. */
  Queue = 'queue',
  /** It is not run, and will never be placed. */
  Refuse = 'refuse',
}

/** Why a request is refused. All of them mean that it did not run. */
export enum RefusalReason {
  /** No endpoint of the service and model exists or all are leaving. */
  NoEndpoint = 'no-endpoint',
  /** As many requests wait as memory and usefulness allow. */
  QueueFull = 'queue-full',
  /** By the computed wait, its first token would come after its deadline. */
  DeadlineUnreachable = 'deadline-unreachable',
  /** Its deadline passed while it waited. */
  DeadlinePassed = 'deadline-passed',
  /** Too large a share of the work offered lately were retries. */
  RetryBudgetExhausted = 'retry-budget-exhausted',
  /** Its organisation has more than its share waiting already. */
  ShareExhausted = 'share-exhausted',
}

/** The request goes to an endpoint now. */
export interface PlaceDecision {
  readonly kind: DecisionKind.Place;
  readonly requestId: string;
  readonly endpoint: string;
}

/** The request waits. */
export interface QueueDecision {
  readonly kind: DecisionKind.Queue;
  readonly requestId: string;
}

/** The request is not run. */
export interface RefuseDecision {
  readonly kind: DecisionKind.Refuse;
  readonly requestId: string;
  readonly reason: RefusalReason;
  /** After how long a new try may fare better. */
  readonly retryAfterMilliseconds: number;
}

export type Decision = PlaceDecision | QueueDecision | RefuseDecision;

/** How urgently the answer is needed. */
export enum WorkClass {
  /** A person is waiting for the first token. */
  Interactive = 'interactive',
  /** No person is waiting; it may run when interactive work leaves capacity. */
  Batch = 'batch',
}

/** A request, as far as it matters for load decisions. */
export interface WorkItem {
  readonly requestId: string;
  readonly organisation: string;
  /**
   * Share under contention relative to other organisations; must be positive.
   */
  readonly weight: number;
  readonly workClass: WorkClass;
  readonly service: string;
  /** Empty for plain calls. */
  readonly model: string;
  readonly promptTokens: number;
  /** Maximum number of tokens to generate; 0 for plain calls. */
  readonly maximumOutputTokens: number;
  /**
   * Hashes of the prompt's prefixes, shortest first; each prefix includes the
   * previous one. Empty for plain calls.
   */
  readonly prefixHashes: readonly string[];
  /**
   * Deadline for the first token, in milliseconds of the router's monotonic
   * clock.
   */
  readonly deadlineAt: number;
  /**
   * True if this is a further attempt of the same request, by the caller or by
   * the router. Retries are charged to a retry budget.
   */
  readonly isRetry?: boolean;
  /**
   * The endpoint that failed the previous attempt; chosen only if there is no
   * other.
   */
  readonly avoidEndpoint?: string;
}

/** How a placed request ended. */
export enum WorkOutcome {
  /** The whole answer was received. */
  Answered = 'answered',
  /** The endpoint failed the request, was unreachable, or broke the stream. */
  Failed = 'failed',
  /** The caller cancelled it and the endpoint was notified. */
  Cancelled = 'cancelled',
  /** It was placed, but nothing was sent to the endpoint. */
  NotDispatched = 'not-dispatched',
}

/** The result of a placed request. */
export interface WorkResult {
  readonly endpoint: string;
  readonly outcome: WorkOutcome;
  /** Usage as counted by the endpoint; 0 if nothing ran. */
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** How soon somebody waits for the answer. */
export enum WorkClass {
  /** A person waits for the first token. */
  Interactive = 'interactive',
  /** Nobody waits at a screen; it may run when interactive work leaves room. */
  Batch = 'batch',
}

/** One request as the decisions see it. */
export interface WorkItem {
  readonly requestId: string;
  readonly organisation: string;
  /** Share under contention, relative to other organisations; above 0. */
  readonly weight: number;
  readonly workClass: WorkClass;
  readonly service: string;
  /** Empty for plain calls. */
  readonly model: string;
  readonly promptTokens: number;
  /** The most tokens it may generate; 0 for plain calls. */
  readonly maximumOutputTokens: number;
  /**
   * Hashes of the prompt's prefixes, shortest first, each covering the one
   * before it. Empty for plain calls.
   */
  readonly prefixHashes: readonly string[];
  /** The first token must be there by then, on the router's monotonic clock. */
  readonly deadlineAt: number;
  /**
   * True where this is a further try of the same request, by the caller or by
   * the router. Retries are paid for out of a retry budget.
   */
  readonly isRetry?: boolean;
  /** The endpoint that failed it before; chosen only where no other is left. */
  readonly avoidEndpoint?: string;
}

/** How placed work ended. */
export enum WorkOutcome {
  /** The whole answer was read. */
  Answered = 'answered',
  /** The endpoint failed it, was not reachable, or broke the stream. */
  Failed = 'failed',
  /** The caller gave up and the endpoint was told. */
  Cancelled = 'cancelled',
  /** It was placed, but nothing was sent to the endpoint. */
  NotDispatched = 'not-dispatched',
}

/** What is known of placed work when it has ended. */
export interface WorkResult {
  readonly endpoint: string;
  readonly outcome: WorkOutcome;
  /** Usage as the endpoint counted it; 0 where nothing ran. */
  readonly promptTokens: number;
  readonly outputTokens: number;
}

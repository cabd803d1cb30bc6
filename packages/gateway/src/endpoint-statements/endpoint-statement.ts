/** What an endpoint says of itself in the head of an answer. */
export interface EndpointStatement {
  /**
   * Requests a second that it takes from all hosts together; undefined if it names no
   * limit.
   */
  readonly requestsPerSecond: number | undefined;
  /** Whether an earlier limit stays, since the value in this answer is not valid. */
  readonly keepsLimit: boolean;
  /**
   * Refusals for want of room in a second that it bears without an end; undefined if it
   * is not brittle.
   */
  readonly refusalsPerSecond: number | undefined;
  /** Whether it stays as brittle as it was, since the value in this answer is not valid. */
  readonly keepsBrittleness: boolean;
  /** How much longer it stays cold, milliseconds; undefined if it does not say. */
  readonly coldMilliseconds: number | undefined;
  /** Whether it is about to leave. */
  readonly isLeaving: boolean;
  /** Rest that it asks this host for, milliseconds; undefined if it asks for none. */
  readonly restMilliseconds: number | undefined;
  /** Names of headers whose values are not valid; what was in force before stays. */
  readonly ignoredHeaders: readonly string[];
}

/** An answer of an endpoint, as far as its statement depends on it. */
export interface StatedAnswer {
  readonly statement: EndpointStatement;
  /** When the request was sent, on the monotonic clock, milliseconds. */
  readonly sentAt: number;
  /** Identifier of the request; undefined if its caller named none. */
  readonly request: string | undefined;
}

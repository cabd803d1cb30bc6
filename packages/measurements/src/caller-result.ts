/** Outcome of an exchange from the caller's point of view. */
export enum ResultKind {
  Answered = 'answered',
  NotRun = 'not-run',
  Failed = 'failed',
  Unknown = 'unknown',
  /**
   * The connection broke before an outcome was received; a caller with a key may retry.
   */
  Lost = 'lost',
}

/** The result of one exchange with a router. */
export interface CallerResult {
  readonly kind: ResultKind;
  /** Empty if the connection broke before the response headers arrived. */
  readonly requestId: string;
  /** Name of the problem type; empty for answers. */
  readonly problem: string;
  /**
   * What is wrong with the answer; empty if it is complete and belongs to the request.
   */
  readonly mismatch: string;
  /** Token usage stated in the answer. */
  readonly tokens: number;
  /** Delivered content, for comparing several answers to the same key. */
  readonly content: string;
  readonly retryAfterMilliseconds: number;
  /** Start of the exchange, on the runner's monotonic clock. */
  readonly startedAtMilliseconds: number;
  readonly milliseconds: number;
  /** Time until the first token, or until the end of an answer without streaming. */
  readonly firstMilliseconds: number;
}

/** A result without its times. */
export type UntimedResult = Omit<
  CallerResult,
  'startedAtMilliseconds' | 'milliseconds' | 'firstMilliseconds'
>;

/** The result of an exchange whose connection broke before any data arrived. */
export const LOST_RESULT: UntimedResult = {
  kind: ResultKind.Lost,
  requestId: '',
  problem: '',
  mismatch: '',
  tokens: 0,
  content: '',
  retryAfterMilliseconds: 0,
};

/** What a caller was told, or not told. */
export enum ResultKind {
  Answered = 'answered',
  NotRun = 'not-run',
  Failed = 'failed',
  Unknown = 'unknown',
  /** The connection broke without any word: the caller may ask again. */
  Lost = 'lost',
}

/** What one exchange with a router came to. */
export interface CallerResult {
  readonly kind: ResultKind;
  /** Empty where the connection broke before the head. */
  readonly requestId: string;
  /** Name of the problem; empty for answers. */
  readonly problem: string;
  /** What is wrong with an answer; empty where it is the caller's own and whole. */
  readonly mismatch: string;
  /** Usage as the answer states it. */
  readonly tokens: number;
  /** What was delivered, to compare answers to the same key. */
  readonly content: string;
  readonly retryAfterMilliseconds: number;
  /** On the runner's monotonic clock. */
  readonly startedAtMilliseconds: number;
  readonly milliseconds: number;
  /** Until the first token, or the whole answer. */
  readonly firstMilliseconds: number;
}

/** A result before its times are known. */
export type Untimed = Omit<
  CallerResult,
  'startedAtMilliseconds' | 'milliseconds' | 'firstMilliseconds'
>;

/** A result with nothing in it. */
export const NO_RESULT: Untimed = {
  kind: ResultKind.Lost,
  requestId: '',
  problem: '',
  mismatch: '',
  tokens: 0,
  content: '',
  retryAfterMilliseconds: 0,
};

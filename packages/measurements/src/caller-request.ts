/** What kind of answer a request gets, and how it is checked. */
export enum RequestKind {
  /** A streamed completion: tutor coaching, estimates. */
  Stream = 'stream',
  /** A completion answered at once. */
  Whole = 'whole',
  /** A case review: a completion as batch work. */
  Review = 'review',
  /** A call that must run at most once. */
  NonIdempotentCall = 'non-idempotent-call',
  /** A call that may be repeated. */
  IdempotentCall = 'idempotent-call',
}

/** Who asks. */
export interface CallerIdentity {
  readonly organisation: string;
  readonly caller: string;
  readonly secret: string;
}

interface CommonRequest {
  readonly from: CallerIdentity;
  /** Absent: the request can't be told again. */
  readonly key?: string;
}

/** A completion. */
export interface CompletionCall extends CommonRequest {
  readonly kind: RequestKind.Stream | RequestKind.Whole | RequestKind.Review;
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
}

/** A call of a plain service. */
export interface ServiceCall extends CommonRequest {
  readonly kind: RequestKind.NonIdempotentCall | RequestKind.IdempotentCall;
  readonly service: string;
  readonly call: string;
  readonly method: 'GET' | 'POST';
  readonly body: string;
  readonly tokens: number;
}

/** One request of a caller. */
export type CallerRequest = CompletionCall | ServiceCall;

/** True for completions. */
export function isCompletion(
  request: CallerRequest,
): request is CompletionCall {
  return 'prompt' in request;
}

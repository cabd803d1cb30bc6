/** Kind of a request; it determines the form of the answer and how it is checked. */
export enum RequestKind {
  /** A streamed completion: tutor coaching, estimates. */
  Stream = 'stream',
  /** A completion answered without streaming. */
  Whole = 'whole',
  /** A case review: a completion in the batch class. */
  Review = 'review',
  /** A call that must run at most once. */
  NonIdempotentCall = 'non-idempotent-call',
  /** A call that may be repeated. */
  IdempotentCall = 'idempotent-call',
}

/** The identity and credential of a caller. */
export interface CallerIdentity {
  readonly organisation: string;
  readonly caller: string;
  readonly secret: string;
}

interface CommonRequest {
  readonly from: CallerIdentity;
  /** Idempotency key; without one, the caller can't retry after a broken connection. */
  readonly key?: string;
}

/** A completion request to a model service. */
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

/** Returns true if a request is a completion. */
export function isCompletion(
  request: CallerRequest,
): request is CompletionCall {
  return 'prompt' in request;
}

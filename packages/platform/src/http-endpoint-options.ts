import {Fate, StepError} from './step-error.js';

/** Header in which an endpoint gets and echoes the attempt identifier. */
export const ATTEMPT_HEADER = 'x-attempt-id';

/** Limits of exchanges with endpoints, in milliseconds. */
export interface HttpEndpointOptions {
  /** An endpoint in reach accepts a connection within a round trip. */
  readonly connectTimeoutMilliseconds: number;
  /**
   * From the sent request to the head of the answer. An engine answers its head
   * only when it takes the request up, so this includes its own queue.
   */
  readonly responseTimeoutMilliseconds: number;
  /** Longest silence within a stream before it counts as lost. */
  readonly idleTimeoutMilliseconds: number;
}

/** Limits for endpoints a few milliseconds away. */
export const DEFAULT_ENDPOINT_OPTIONS: HttpEndpointOptions = {
  connectTimeoutMilliseconds: 1_000,
  responseTimeoutMilliseconds: 30_000,
  idleTimeoutMilliseconds: 15_000,
};

/**
 * Refuses an answer of another attempt. Symptom without it: after answers were
 * crossed or came late, one caller reads another caller's text. The check is
 * made before any byte of the body is used, and the caller of this function
 * destroys the connection, so nothing of it is read as a later answer.
 *
 * @throws StepError with fate Unknown: the request itself may have run.
 */
export function checkAttemptEcho(
  step: string,
  peer: string,
  expected: string,
  echoed: unknown,
): void {
  if (echoed !== expected) {
    const reason = `the answer names attempt ${String(echoed)}, not ${expected}`;
    throw new StepError(step, peer, Fate.Unknown, reason);
  }
}

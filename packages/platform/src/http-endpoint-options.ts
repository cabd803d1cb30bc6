import {Fate, StepError} from './step-error.js';

/** Header that carries the attempt identifier; endpoints echo it. */
export const ATTEMPT_HEADER = 'x-attempt-id';

/** Timeouts of requests to endpoints, in milliseconds. */
export interface HttpEndpointOptions {
  /** Connect timeout. A reachable endpoint accepts a connection within a round trip. */
  readonly connectTimeoutMilliseconds: number;
  /**
   * From the sent request to the response head. An engine sends the head only when
   * it starts the request, so this includes the time in the engine's queue.
   */
  readonly responseTimeoutMilliseconds: number;
  /** Longest time without data within a stream before it counts as lost. */
  readonly idleTimeoutMilliseconds: number;
}

/** Timeouts for endpoints with a round-trip time of a few milliseconds. */
export const DEFAULT_ENDPOINT_OPTIONS: HttpEndpointOptions = {
  connectTimeoutMilliseconds: 1_000,
  responseTimeoutMilliseconds: 30_000,
  idleTimeoutMilliseconds: 15_000,
};

/**
 * Rejects a response that belongs to another attempt. Without this check, a caller
 * could receive another caller's text after an endpoint mixed up responses or sent
 * one late. Call it before using any byte of the body, and destroy the connection
 * when it throws, so that the rest of the body is not read as a later response.
 *
 * @throws StepError with fate Unknown, since the request itself may have run.
 */
export function checkAttemptEcho(
  step: string,
  peer: string,
  expected: string,
  echoed: unknown,
): void {
  if (echoed !== expected) {
    const reason = `the response has attempt identifier ${String(echoed)}, expected ${expected}`;
    throw new StepError(step, peer, Fate.Unknown, reason);
  }
}

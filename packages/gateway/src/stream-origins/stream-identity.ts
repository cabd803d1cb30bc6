import type {CallerExchange} from '../caller-exchange.js';
import {digestOf} from '../digest.js';

const DIGEST_BYTES = 16;

/**
 * Digest that identifies a stream over the attempts of its caller: of the attempt that
 * brought its first event, the target and the key. Another caller that names the same
 * attempt has another digest.
 *
 * @param firstAttemptId The caller's attempt that brought the first event.
 */
export function streamDigest(
  firstAttemptId: string,
  {method, target, headers}: CallerExchange,
): string {
  return digestOf(
    [firstAttemptId, method, headers.host, target, headers.key ?? ''],
    DIGEST_BYTES,
  );
}

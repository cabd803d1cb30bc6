import {createHash} from 'node:crypto';

import type {CallerExchange} from '../caller-exchange.js';

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
  const hash = createHash('sha256');
  const parts = [firstAttemptId, method, headers.host, target];
  for (const part of [...parts, headers.key ?? '']) {
    hash.update(`${part.length}:${part}`);
  }
  return hash.digest().subarray(0, DIGEST_BYTES).toString('hex');
}

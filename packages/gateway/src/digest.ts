import {createHash} from 'node:crypto';

/**
 * Digest of texts in order; each one's length is part of it, so that no other division
 * of the same characters gives the same digest.
 *
 * @param bytes Length of the digest, which is returned in hexadecimal.
 * @param body Appended as it is.
 * @example
 * ```ts
 * const digest = digestOf(['POST', '/orders'], 12, body);
 * ```
 */
export function digestOf(
  texts: readonly string[],
  bytes: number,
  body: Buffer | string = '',
): string {
  const hash = createHash('sha256');
  for (const text of texts) {
    hash.update(`${text.length}:${text}`);
  }
  hash.update(body);
  return hash.digest().subarray(0, bytes).toString('hex');
}

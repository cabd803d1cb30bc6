import type {IncomingMessage} from 'node:http';

const STATUS_LINE = /HTTP\/\d\.\d \d{3}/;

/** Reason of the failure of a call whose response head is interrupted. */
export const INTERRUPTED_HEAD = 'a head inside another head';

/**
 * Whether a response head holds the status line of another one. A peer that stops in the
 * middle of a head and sends another on the same connection is read as one head with the
 * first status and the second body.
 *
 * @example
 * ```ts
 * isInterruptedHead({statusMessage: 'OK', rawHeaders: ['X-Note', 'abHTTP/1.1 500 Error']}); // true
 * ```
 */
export function isInterruptedHead({
  statusMessage = '',
  rawHeaders,
}: Pick<IncomingMessage, 'statusMessage' | 'rawHeaders'>): boolean {
  return (
    STATUS_LINE.test(statusMessage) ||
    rawHeaders.some(text => STATUS_LINE.test(text))
  );
}

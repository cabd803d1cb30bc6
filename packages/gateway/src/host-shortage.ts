/** Codes of connects that failed because this host lacks descriptors, memory or ports. */
const SHORTAGE_CODES: ReadonlySet<unknown> = new Set([
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/**
 * Whether a connect failed for want of this host's own resources, which says nothing of
 * the other side.
 *
 * @example
 * ```ts
 * socket.once('error', error => {
 *   const isOwnFault = isHostShortage(error);
 * });
 * ```
 */
export function isHostShortage(error: Error): boolean {
  return 'code' in error && SHORTAGE_CODES.has(error.code);
}

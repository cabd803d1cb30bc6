/** Errors of the connect step: no byte of the request was sent. */
const NEVER_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

/**
 * Servers commonly close an idle connection after 5 s. A request written to a
 * connection that is just being closed fails with an unknown fate, which for a
 * non-idempotent call would be an unclear outcome without need. Dropping idle
 * connections a second earlier leaves the server nothing to close.
 */
export const IDLE_CONNECTION_MILLISECONDS = 4_000;

/** Whether an error's code tells that no connection was made. */
export function isNeverSentCode(code: unknown): boolean {
  return typeof code === 'string' && NEVER_SENT_CODES.has(code);
}

/** Error codes of a failed connect: no byte of the request was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

/**
 * Idle connections are closed after this time. Servers commonly close them after
 * 5 s, and a request written to a connection that the server is closing fails with
 * an unknown fate: a non-idempotent call would then have an unclear outcome.
 * Closing idle connections 1 s before the server does avoids that race.
 */
export const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 4_000;

/** Whether an error code means that no connection was established. */
export function isConnectErrorCode(code: unknown): boolean {
  return typeof code === 'string' && CONNECT_ERROR_CODES.has(code);
}

import type {ClientRequest} from 'node:http';

/**
 * Idle connections are closed after this time. Servers commonly close them after
 * 5 s, and a request written to a connection that the server is closing fails with
 * an unknown fate: a non-idempotent call would then have an unclear outcome.
 * Closing idle connections 1 s before the server does avoids that race.
 */
export const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 4_000;

/**
 * Calls the listener when a request has an established connection. Before that nothing of
 * it can have been sent. A connect that the system refuses at once leaves a socket that
 * is neither connecting nor connected.
 */
export function onConnected(
  request: ClientRequest,
  listener: () => void,
): void {
  request.once('socket', socket => {
    if (socket.connecting) {
      socket.once('connect', listener);
    } else if (request.reusedSocket || !socket.destroyed) {
      listener();
    }
  });
}

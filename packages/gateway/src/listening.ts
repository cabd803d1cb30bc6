import type {Server} from 'node:http';

/** An address to listen on. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/**
 * New connections that wait to be taken. The loop takes one a turn: a longer queue
 * takes a small host longer to read than callers wait, and it reads of nobody but of
 * those that have left.
 */
const BACKLOG = 16;

/** Splits `IP:port`, which the settings' check has found to be well formed. */
export function listenAddress(text: string): ListenAddress {
  const colon = text.lastIndexOf(':');
  return {
    address: text.slice(0, colon),
    port: Number(text.slice(colon + 1)),
  };
}

/**
 * Resolves once the server listens.
 *
 * @throws The system's error where the address can't be taken.
 */
export function listening(
  server: Server,
  {address, port}: ListenAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host: address, port, backlog: BACKLOG}, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Port that a server has taken; 0 before it listens. */
export function portOf(server: Server): number {
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
}

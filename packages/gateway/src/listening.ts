import type {Server} from 'node:http';

/** An address to listen on. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** New connections that wait to be taken; a burst of callers comes at once. */
const BACKLOG = 1_024;

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

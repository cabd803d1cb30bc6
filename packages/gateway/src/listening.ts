import type {Server} from 'node:http';

/** An address to listen on. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/**
 * Queue length for connections that were not accepted yet. The event loop
 * accepts one per turn: on a small host a longer queue takes more time to read
 * than callers wait, so that only connections whose callers have already left
 * would be read.
 */
const LISTEN_BACKLOG = 16;

/** Splits `IP:port`, whose format the settings' validation has checked. */
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
 * @throws The system's error if the address can't be bound.
 */
export function listen(
  server: Server,
  {address, port}: ListenAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host: address, port, backlog: LISTEN_BACKLOG}, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** The port that a server is bound to; 0 before it listens. */
export function portOf(server: Server): number {
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
}

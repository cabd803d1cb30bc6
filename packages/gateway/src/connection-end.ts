import type {Socket} from 'node:net';

const NO_BYTES = Buffer.alloc(0);

/**
 * Resolves with whether the other side ended a connection in order, once all that was
 * written to it is sent; with false if it was reset or closed here. A reset that arrives
 * together with the last bytes is reported as an end; only a write shows the difference.
 *
 * @param socket A connection whose end has not been read yet.
 * @example
 * ```ts
 * const isComplete = await endsInOrder(socket);
 * ```
 */
export function endsInOrder(socket: Socket): Promise<boolean> {
  return new Promise(resolve => {
    // Other listeners may end the connection, after which nothing can be written.
    socket.prependOnceListener('end', () => {
      if (socket.writable) {
        socket.write(NO_BYTES, error => {
          resolve(!(error instanceof Error));
        });
      }
    });
    socket.on('error', () => {
      // That of the write; 'close' follows.
    });
    socket.once('close', () => {
      resolve(false);
    });
  });
}

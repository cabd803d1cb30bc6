import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

import {FramingLimit, PART_MILLISECONDS} from './framing-limit.js';
import {InputBreach, isMessageOverflow} from './input-breach.js';

/** Maximum size of the body of an answer that is not read. */
export const MAXIMUM_DISCARDED_BYTES = 64 * 1024;

/**
 * Watches what arrives on the connection of a request until the request closes.
 *
 * @example
 * ```ts
 * const watch = new InputWatch(outgoing, breach => {
 *   exchange.endInput(breach);
 * });
 * ```
 */
export class InputWatch {
  private readonly limit = new FramingLimit();
  private incoming: IncomingMessage | undefined;
  /** Bytes of the body that were read. */
  private readBytes = 0;
  /** Counts all bytes that have arrived for the request. */
  private countBytes = () => 0;

  /** @param onBreach Called when a limit is exceeded; has to close the connection. */
  constructor(
    private readonly outgoing: ClientRequest,
    private readonly onBreach: (breach: InputBreach) => void,
  ) {
    outgoing.once('socket', socket => {
      this.watch(socket);
    });
    outgoing.on('information', () => {
      this.limit.restartTime();
    });
    outgoing.once('response', incoming => {
      this.incoming = incoming;
      this.limit.restartTime();
    });
    outgoing.on('error', error => {
      if (isMessageOverflow(error)) {
        onBreach(InputBreach.MessageBytes);
      }
    });
  }

  /** Number of bytes that have arrived for the request. */
  get arrivedBytes(): number {
    return this.countBytes();
  }

  /** Records that a part of the body was read. */
  bodyRead(bytes: number): void {
    this.readBytes += bytes;
  }

  /** Discards the body of an answer, so that its connection can be used again. */
  discard(incoming: IncomingMessage): void {
    incoming.on('data', (chunk: Buffer) => {
      this.readBytes += chunk.length;
      if (this.readBytes > MAXIMUM_DISCARDED_BYTES) {
        this.onBreach(InputBreach.DiscardedBytes);
      }
    });
    incoming.on('error', () => {
      // The connection is closed, and nobody reads the body.
    });
    const timer = setTimeout(() => {
      this.onBreach(InputBreach.DiscardedTime);
    }, PART_MILLISECONDS);
    timer.unref();
    incoming.once('close', () => {
      clearTimeout(timer);
    });
  }

  private watch(socket: Socket): void {
    const before = socket.bytesRead;
    this.countBytes = () => socket.bytesRead - before;
    // Runs after the HTTP parser has read the same bytes.
    const onData = () => {
      const breach = this.limit.arrived(
        {
          total: this.arrivedBytes,
          body: this.readBytes + (this.incoming?.readableLength ?? 0),
        },
        performance.now(),
      );
      if (this.incoming?.isPaused() === true) {
        this.limit.restartTime();
      }
      if (breach !== undefined) {
        this.onBreach(breach);
      }
    };
    socket.on('data', onData);
    this.outgoing.once('close', () => {
      socket.off('data', onData);
    });
  }
}

import {HeldBytes} from './held-bytes.js';
import {HeldKind} from './held-kind.js';

/**
 * The bytes from outside that this process holds for requests: the account of all
 * connections together.
 *
 * @example
 * ```ts
 * const account = new InputAccount();
 * const held = account.hold(HeldKind.Answer, 'endpoint engine-1');
 * held.add(chunk.length);
 * account.bytesOf(HeldKind.Answer);
 * held.close();
 * ```
 */
export class InputAccount {
  private readonly bytesByKind = new Map<HeldKind, number>();

  /**
   * Opens the account of one exchange.
   *
   * @param source Identifies the endpoint or caller that the bytes come from.
   */
  hold(kind: HeldKind, source: string): HeldBytes {
    return new HeldBytes(source, change => {
      this.bytesByKind.set(kind, this.bytesOf(kind) + change);
    });
  }

  /** Bytes that are held for one purpose. */
  bytesOf(kind: HeldKind): number {
    return this.bytesByKind.get(kind) ?? 0;
  }

  /** The bytes that are held, by kind. */
  describe(): Readonly<Record<HeldKind, number>> {
    return {
      [HeldKind.Answer]: this.bytesOf(HeldKind.Answer),
      [HeldKind.Event]: this.bytesOf(HeldKind.Event),
      [HeldKind.RequestBody]: this.bytesOf(HeldKind.RequestBody),
      [HeldKind.UnreadAnswer]: this.bytesOf(HeldKind.UnreadAnswer),
    };
  }
}

import type {MemoryHolder} from '@wisteriadeal/decisions';

import type {HeldKind} from './held-kind.js';

/**
 * What a part takes in memory besides its bytes, approximately: its buffer, and the
 * framing that was read with it.
 */
const PART_OVERHEAD_BYTES = 512;

/** The bytes that one exchange holds. */
export class HeldBytes implements MemoryHolder {
  private heldBytes = 0;
  private hasClosed = false;

  /**
   * @param onChange Called with each change of the number of bytes.
   * @param onEnd Ends the exchange; undefined once that frees nothing.
   */
  constructor(
    readonly kind: HeldKind,
    readonly source: string,
    private readonly onChange: (held: HeldBytes, change: number) => void,
    private onEnd: (() => void) | undefined,
  ) {}

  get bytes(): number {
    return this.heldBytes;
  }

  /** Whether no bytes are held any more. */
  get isClosed(): boolean {
    return this.hasClosed;
  }

  get isEndable(): boolean {
    return this.onEnd !== undefined;
  }

  /** Records that more bytes are held. */
  add(bytes: number): void {
    this.set(this.heldBytes + bytes);
  }

  /** Records that a further part is held in a buffer of its own. */
  addPart(bytes: number): void {
    this.add(bytes + PART_OVERHEAD_BYTES);
  }

  /** Records how many bytes are held now. */
  set(bytes: number): void {
    const change = bytes - this.heldBytes;
    if (change !== 0 && !this.hasClosed) {
      this.heldBytes = bytes;
      this.onChange(this, change);
    }
  }

  /** Records that all bytes have come: they are kept until they are used. */
  complete(): void {
    this.onEnd = undefined;
  }

  /** Ends the exchange to free its bytes. */
  end(): void {
    this.onEnd?.();
    this.close();
  }

  /** Records that no bytes are held any more. */
  close(): void {
    this.set(0);
    this.hasClosed = true;
  }
}

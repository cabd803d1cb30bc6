/** The bytes that one exchange holds. */
export class HeldBytes {
  private heldBytes = 0;
  private isClosed = false;

  /** @param onChange Called with each change of the number of bytes. */
  constructor(
    readonly source: string,
    private readonly onChange: (change: number) => void,
  ) {}

  get bytes(): number {
    return this.heldBytes;
  }

  /** Records that more bytes are held. */
  add(bytes: number): void {
    this.set(this.heldBytes + bytes);
  }

  /** Records how many bytes are held now. */
  set(bytes: number): void {
    const change = bytes - this.heldBytes;
    if (change !== 0 && !this.isClosed) {
      this.heldBytes = bytes;
      this.onChange(change);
    }
  }

  /** Records that no bytes are held any more. */
  close(): void {
    this.set(0);
    this.isClosed = true;
  }
}

/** Chunks below this size are copied together, as each has a buffer of its own. */
const SMALL_BYTES = 256;
const BLOCK_BYTES = 4 * 1024;

/**
 * The chunks of a body that is held until it is complete.
 *
 * @example
 * ```ts
 * parts.add(chunk);
 * const body = parts.join();
 * ```
 */
export class BodyParts {
  private readonly parts: Buffer[] = [];
  private block = Buffer.alloc(0);
  /** Where the bytes of the block begin that are not among the parts, and where they end. */
  private from = 0;
  private until = 0;

  add(chunk: Buffer): void {
    if (chunk.length >= SMALL_BYTES) {
      this.endPart();
      this.parts.push(chunk);
      return;
    }
    if (this.until + chunk.length > this.block.length) {
      this.endPart();
      this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      this.from = 0;
      this.until = 0;
    }
    this.until += chunk.copy(this.block, this.until);
  }

  /** The whole body. */
  join(): Buffer {
    this.endPart();
    return Buffer.concat(this.parts);
  }

  private endPart(): void {
    if (this.until > this.from) {
      this.parts.push(this.block.subarray(this.from, this.until));
      this.from = this.until;
    }
  }
}

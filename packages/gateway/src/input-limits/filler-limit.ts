import {FRAMING_BYTES, FRAMING_BYTES_PER_BODY_BYTE} from './framing-limit.js';
import {InputBreach} from './input-breach.js';

/**
 * Least number of bytes that a chunk without a numbered event counts for, as its framing
 * has to be read as well.
 */
const MINIMUM_CHUNK_BYTES = 64;

/**
 * Limits what a stream sends besides numbered events: comments, empty lines and events
 * without an identifier. A caller can put none of them in order, nor continue after them.
 * The bounds are those of what is not the body of an answer, so that comments that keep a
 * connection open last for hours.
 *
 * @example
 * ```ts
 * const limit = new FillerLimit();
 * limit.arrived({fillerBytes: 0, numberedBytes: 40}); // undefined: no limit is exceeded
 * ```
 */
export class FillerLimit {
  private fillerBytes = 0;
  private numberedBytes = 0;

  /**
   * Records the whole events of a chunk.
   *
   * @param bytes Size of those without and those with an identifier, bytes.
   * @returns The limit that they exceed; undefined if there is none.
   */
  arrived({
    fillerBytes,
    numberedBytes,
  }: {
    readonly fillerBytes: number;
    readonly numberedBytes: number;
  }): InputBreach | undefined {
    if (fillerBytes > 0) {
      this.fillerBytes +=
        numberedBytes > 0
          ? fillerBytes
          : Math.max(fillerBytes, MINIMUM_CHUNK_BYTES);
    }
    this.numberedBytes += numberedBytes;
    const maximumBytes =
      FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * this.numberedBytes;
    return this.fillerBytes > maximumBytes
      ? InputBreach.FillerBytes
      : undefined;
  }
}

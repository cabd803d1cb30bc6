import {InputBreach} from './input-breach.js';

/**
 * Bytes that may arrive besides those of the body. Node.js reads heads of at most 16 KiB,
 * so that three 1xx responses of that size and the final head are accepted.
 */
export const FRAMING_BYTES = 64 * 1024;
/** Further bytes for each byte of the body; chunks of one byte need five. */
export const FRAMING_BYTES_PER_BODY_BYTE = 16;
/**
 * Time in which a part of an answer has to arrive, from its first byte, milliseconds. A
 * packet that is lost four times in a row is 3 s late.
 */
export const PART_MILLISECONDS = 5_000;

/** Bytes of an exchange that have arrived so far. */
export interface ArrivedBytes {
  /** All bytes. */
  readonly total: number;
  /** Those of the body. */
  readonly body: number;
}

/**
 * Limits what an endpoint sends besides a body, by size and by time. Responds to an
 * endpoint that sends heads, 1xx responses, chunk extensions or trailers without end.
 *
 * @example
 * ```ts
 * const limit = new FramingLimit();
 * limit.arrived({total: 400, body: 0}, now); // undefined: no limit is exceeded
 * ```
 */
export class FramingLimit {
  private bodyBytes = 0;
  /** When the current part began to arrive. */
  private partBeganAt: number | undefined;

  /**
   * Records that bytes have arrived.
   *
   * @param now Monotonic clock, milliseconds.
   * @returns The limit that they exceed; undefined if there is none.
   */
  arrived({total, body}: ArrivedBytes, now: number): InputBreach | undefined {
    if (total - body > FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * body) {
      return InputBreach.FramingBytes;
    }
    if (body > this.bodyBytes) {
      this.bodyBytes = body;
      this.partBeganAt = undefined;
      return undefined;
    }
    this.partBeganAt ??= now;
    return now - this.partBeganAt > PART_MILLISECONDS
      ? InputBreach.FramingTime
      : undefined;
  }

  /**
   * Starts the time of the current part again, because a head is complete or this host
   * has paused reading.
   */
  restartTime(): void {
    this.partBeganAt = undefined;
  }
}

import {PART_MILLISECONDS} from './framing-limit.js';
import {InputBreach} from './input-breach.js';

/** Maximum size of one event of a stream, which is held until it is complete. */
export const MAXIMUM_EVENT_BYTES = 256 * 1024;

/**
 * Limits one event of a stream by size and by time. Responds to an endpoint whose stream
 * goes on without a whole event.
 *
 * @example
 * ```ts
 * const limit = new EventLimit();
 * limit.arrived(splitter.incompleteBytes, hasEvents, now);
 * ```
 */
export class EventLimit {
  private beganAt: number | undefined;

  /**
   * Records that bytes of a stream have arrived.
   *
   * @param incompleteBytes Bytes of the event that is not complete.
   * @param hasEvents Whether an event was completed.
   * @param now Monotonic clock, milliseconds.
   * @returns The limit that the incomplete event exceeds; undefined if there is none.
   */
  arrived(
    incompleteBytes: number,
    hasEvents: boolean,
    now: number,
  ): InputBreach | undefined {
    if (incompleteBytes > MAXIMUM_EVENT_BYTES) {
      return InputBreach.EventBytes;
    }
    if (hasEvents || incompleteBytes === 0) {
      this.beganAt = undefined;
    }
    if (incompleteBytes === 0) {
      return undefined;
    }
    this.beganAt ??= now;
    return now - this.beganAt > PART_MILLISECONDS
      ? InputBreach.EventTime
      : undefined;
  }

  /** Starts the time of an event again, because this host has paused reading. */
  restartTime(): void {
    this.beganAt = undefined;
  }
}

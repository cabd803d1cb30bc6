/**
 * Gains of the smoothed mean (about eight samples) and of the mean deviation
 * (about four).
 */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** A limit is the mean plus this many mean deviations. */
const DEVIATION_FACTOR = 4;
/** After a timeout, the limit backs off to this multiple of the time waited. */
const TIMEOUT_BACKOFF_FACTOR = 2;
/**
 * Maximum additional delay, in milliseconds. A link that still works delays
 * nothing for longer.
 */
const MAXIMUM_DELAY_MILLISECONDS = 2_000;

/**
 * Estimates how long incoming data waits at the host's own link, in the way TCP
 * estimates its retransmission timeout. When callers saturate the link of one
 * host, incoming data waits for 0.5 to over 1 s. With limits meant for an idle
 * host, connections, loans and responses of the store would time out one after
 * the other, and the retries would keep the link saturated.
 *
 * @example
 * ```ts
 * delay.recordArrival(0.6);
 * delay.recordTimeout(120);
 * setTimeout(giveUp, 120 + delay.milliseconds(link.isCongested));
 * ```
 */
export class LinkDelay {
  private mean = 0;
  private deviation = 0;
  private backoff = 0;

  /**
   * Records the delay of data that the peer sent immediately, in milliseconds.
   */
  recordArrival(milliseconds: number): void {
    this.updateMean(Math.min(MAXIMUM_DELAY_MILLISECONDS, milliseconds));
    this.backoff = 0;
  }

  /**
   * Records a timeout after the given time, in milliseconds. Several timeouts
   * at the same moment count as one.
   */
  recordTimeout(milliseconds: number): void {
    const minimumDelay = Math.min(MAXIMUM_DELAY_MILLISECONDS, milliseconds);
    if (minimumDelay > this.mean) {
      this.updateMean(minimumDelay);
    }
    this.backoff = Math.max(
      this.backoff,
      TIMEOUT_BACKOFF_FACTOR * minimumDelay,
    );
  }

  /**
   * Returns the delay to add to each timeout of a call.
   *
   * @param isCongested Whether the link is full or was full recently.
   * @returns Milliseconds; 0 on an idle link, where the peer causes any delay.
   */
  milliseconds(isCongested: boolean): number {
    const expected = this.mean + DEVIATION_FACTOR * this.deviation;
    return isCongested
      ? Math.min(MAXIMUM_DELAY_MILLISECONDS, Math.max(this.backoff, expected))
      : 0;
  }

  private updateMean(milliseconds: number): void {
    const difference = milliseconds - this.mean;
    this.mean += MEAN_GAIN * difference;
    this.deviation += DEVIATION_GAIN * (Math.abs(difference) - this.deviation);
  }
}

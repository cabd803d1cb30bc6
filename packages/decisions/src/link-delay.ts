/** The smoothed mean follows about eight times, the deviation four. */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** A limit is the mean and so many deviations. */
const DEVIATIONS = 4;
/** What took longer than a limit may take so many times as long. */
const EXPIRY_FACTOR = 2;
/** Nothing waits longer at a link that still serves. */
const LONGEST_MILLISECONDS = 2_000;

/**
 * How long what comes in waits at the host's own link, estimated as TCP estimates its
 * retransmission timeout. Load: callers fill the link of one host, and whatever comes in
 * waits 0.5 to over 1 s. Harm of limits for an idle host: connections, loans and the
 * store's answers expire one after the other, and the retries keep the link full.
 *
 * @example
 * ```ts
 * delay.arrived(0.6);
 * delay.expired(120);
 * setTimeout(giveUp, 120 + delay.milliseconds(link.isCongested));
 * ```
 */
export class LinkDelay {
  private mean = 0;
  private deviation = 0;
  private backoff = 0;

  /** What a peer sends without delay came after so long, milliseconds. */
  arrived(milliseconds: number): void {
    this.learn(Math.min(LONGEST_MILLISECONDS, milliseconds));
    this.backoff = 0;
  }

  /**
   * It had not come after so long, milliseconds, and is not waited for any longer.
   * Several that expire together count as one.
   */
  expired(milliseconds: number): void {
    const atLeast = Math.min(LONGEST_MILLISECONDS, milliseconds);
    if (atLeast > this.mean) {
      this.learn(atLeast);
    }
    this.backoff = Math.max(this.backoff, EXPIRY_FACTOR * atLeast);
  }

  /**
   * To be added to each limit of a call.
   *
   * @param isCongested Whether the link is full or was so recently.
   * @returns Milliseconds; 0 on a free link, where lateness is the other side's.
   */
  milliseconds(isCongested: boolean): number {
    const expected = this.mean + DEVIATIONS * this.deviation;
    return isCongested
      ? Math.min(LONGEST_MILLISECONDS, Math.max(this.backoff, expected))
      : 0;
  }

  private learn(milliseconds: number): void {
    const change = milliseconds - this.mean;
    this.mean += MEAN_GAIN * change;
    this.deviation += DEVIATION_GAIN * (Math.abs(change) - this.deviation);
  }
}

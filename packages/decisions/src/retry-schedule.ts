/** Maximum delay before a retry, in milliseconds. */
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 30_000;
/** Minimum delay before a retry, in milliseconds. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;
/**
 * Maximum number of organisations tracked; the least recently seen one is
 * evicted.
 */
const MAXIMUM_TRACKED_ORGANISATIONS = 4_096;
/** Random jitter added to a delay, as a share of it. */
const JITTER_SHARE = 0.2;

/**
 * Computes when refused callers should retry. If an organisation that exceeds
 * its share were given the same time for all its refusals, its callers would
 * return together and most would be refused again. Each refusal therefore
 * reserves the next free time at the rate at which the organisation is served
 * (a leaky bucket), at most half a minute ahead.
 */
export class RetrySchedule {
  private readonly scheduledUntil = new Map<string, number>();

  /** @param fraction Returns random numbers in [0, 1). */
  constructor(private readonly fraction: () => number) {}

  /**
   * Reserves a time for a retry.
   *
   * @param excessMilliseconds By how much the expected wait is too long now.
   * @param serviceIntervalMilliseconds Mean interval at which the
   *     organisation's share serves such a request.
   * @returns Milliseconds after which the caller should retry.
   */
  schedule(
    organisation: string,
    excessMilliseconds: number,
    serviceIntervalMilliseconds: number,
    now: number,
  ): number {
    const earliest = now + excessMilliseconds;
    const scheduled = Math.max(
      earliest,
      this.scheduledUntil.get(organisation) ?? earliest,
    );
    const latest = now + MAXIMUM_RETRY_AFTER_MILLISECONDS;
    this.storeScheduledUntil(
      organisation,
      Math.min(latest, scheduled + serviceIntervalMilliseconds),
    );
    const delay = (scheduled - now) * (1 + JITTER_SHARE * this.fraction());
    return Math.ceil(
      Math.min(
        MAXIMUM_RETRY_AFTER_MILLISECONDS,
        Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, delay),
      ),
    );
  }

  private storeScheduledUntil(organisation: string, until: number): void {
    this.scheduledUntil.delete(organisation);
    this.scheduledUntil.set(organisation, until);
    if (this.scheduledUntil.size > MAXIMUM_TRACKED_ORGANISATIONS) {
      for (const oldest of this.scheduledUntil.keys()) {
        this.scheduledUntil.delete(oldest);
        break;
      }
    }
  }
}

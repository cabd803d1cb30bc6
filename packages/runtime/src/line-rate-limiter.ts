/** Rate limits on the log lines of one event. */
export interface LineRateLimits {
  /** Average number of lines per second. */
  readonly perSecond: number;
  /** Maximum number of lines in a burst. */
  readonly burst: number;
}

/**
 * A host in the users' deployments completes about 10 requests per second, and
 * refuses about 100 per second when an organisation sends seven times its usual load.
 * A fleet of 1,500 hosts with 120,000 requests per second has 80 per host. 200 lines
 * of 400 bytes are 80 KB per second.
 */
export const DEFAULT_LINE_RATE_LIMITS: LineRateLimits = {
  perSecond: 200,
  burst: 600,
};

interface Bucket {
  tokens: number;
  refilledAt: number;
  suppressed: number;
}

/** Number of lines of one event that exceeded its rate limit. */
export interface SuppressedLines {
  readonly event: string;
  readonly lines: number;
}

/**
 * Limits the rate of log lines with a token bucket per event. Callers of an
 * organisation without budget may retry without any delay; each refusal logs two
 * lines, and writing them costs more than the refusal itself. A sample of the lines is
 * written; the suppressed ones are counted and reported.
 */
export class LineRateLimiter {
  private readonly buckets = new Map<string, Bucket>();

  constructor(private readonly limits: LineRateLimits) {}

  /**
   * Consumes a token for one line of the event. If there is none, the line counts as
   * suppressed.
   *
   * @param now Current time, milliseconds.
   * @returns Whether the line may be written.
   */
  tryAcquire(event: string, now: number): boolean {
    const bucket = this.bucket(event, now);
    const grown = ((now - bucket.refilledAt) / 1_000) * this.limits.perSecond;
    bucket.tokens = Math.min(this.limits.burst, bucket.tokens + grown);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
      bucket.suppressed++;
      return false;
    }
    bucket.tokens--;
    return true;
  }

  /** Returns the number of suppressed lines per event since the last call. */
  consumeSuppressedCounts(): SuppressedLines[] {
    const suppressed: SuppressedLines[] = [];
    for (const [event, bucket] of this.buckets) {
      if (bucket.suppressed > 0) {
        suppressed.push({event, lines: bucket.suppressed});
        bucket.suppressed = 0;
      }
    }
    return suppressed;
  }

  private bucket(event: string, now: number): Bucket {
    let bucket = this.buckets.get(event);
    if (bucket === undefined) {
      bucket = {tokens: this.limits.burst, refilledAt: now, suppressed: 0};
      this.buckets.set(event, bucket);
    }
    return bucket;
  }
}

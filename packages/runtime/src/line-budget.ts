/** How many lines of one kind are written. */
export interface LineLimits {
  /** Lines of one event in a second, on average. */
  readonly perSecond: number;
  /** Lines of one event at once. */
  readonly burst: number;
}

/**
 * A host of the users' deployments ends some 10 requests a second and refuses a
 * hundred when a customer sends seven times its usual; 120,000 requests a second
 * over 1,500 hosts are 80. At 400 bytes a line, 200 are 80 KB a second.
 */
export const DEFAULT_LINE_LIMITS: LineLimits = {perSecond: 200, burst: 600};

interface Bucket {
  tokens: number;
  at: number;
  withheld: number;
}

/** Lines of one event that were not written. */
export interface WithheldLines {
  readonly event: string;
  readonly lines: number;
}

/**
 * Bounds log lines by event, with a token bucket for each. Load: callers of a
 * customer without budget come back as fast as they can. Harm: each refusal is two
 * lines, and writing them costs more than refusing. What is written are examples;
 * what is withheld is counted and told.
 */
export class LineBudget {
  private readonly buckets = new Map<string, Bucket>();

  constructor(private readonly limits: LineLimits) {}

  /** Whether a line of this event may be written at this time, milliseconds. */
  take(event: string, now: number): boolean {
    const bucket = this.bucket(event, now);
    const grown = ((now - bucket.at) / 1_000) * this.limits.perSecond;
    bucket.tokens = Math.min(this.limits.burst, bucket.tokens + grown);
    bucket.at = now;
    if (bucket.tokens < 1) {
      bucket.withheld++;
      return false;
    }
    bucket.tokens--;
    return true;
  }

  /** What was withheld since the last call. */
  takeWithheld(): WithheldLines[] {
    const told: WithheldLines[] = [];
    for (const [event, bucket] of this.buckets) {
      if (bucket.withheld > 0) {
        told.push({event, lines: bucket.withheld});
        bucket.withheld = 0;
      }
    }
    return told;
  }

  private bucket(event: string, now: number): Bucket {
    let bucket = this.buckets.get(event);
    if (bucket === undefined) {
      bucket = {tokens: this.limits.burst, at: now, withheld: 0};
      this.buckets.set(event, bucket);
    }
    return bucket;
  }
}

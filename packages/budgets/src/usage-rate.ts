/**
 * Over how long use is averaged. Load: an organisation sends seven times its
 * usual. Harm: a longer mean asks for too little before the store goes away; a
 * shorter one takes one long prompt for a trend.
 */
const MEAN_MILLISECONDS = 5_000;

/** Tokens an organisation uses on this host in a millisecond, averaged. */
export class UsageRate {
  private perMillisecond = 0;
  private updatedAt: number;

  constructor(now: number) {
    this.updatedAt = now;
  }

  /** Counts tokens that were reserved or used. */
  add(tokens: number, now: number): void {
    this.decay(now);
    this.perMillisecond += tokens / MEAN_MILLISECONDS;
  }

  /** The mean at a moment. */
  at(now: number): number {
    this.decay(now);
    return this.perMillisecond;
  }

  private decay(now: number): void {
    const elapsed = Math.max(0, now - this.updatedAt);
    this.perMillisecond *= Math.exp(-elapsed / MEAN_MILLISECONDS);
    this.updatedAt = now;
  }
}

/**
 * Slowness has to last for about this long to be believed. Load: one long prompt
 * delays all that were placed beside it. Harm: late first tokens that come at
 * the same moment look like many signs and are one; a fleet with a mix of long
 * and short prompts would shed half of itself. Samples are therefore weighed by
 * the time that they stand for.
 */
const RISE_MILLISECONDS = 2_000;
/** What was slow is trusted again more slowly. */
const FALL_MILLISECONDS = 4_000;
/** After a silence, one sample counts at most so much. */
const LARGEST_SHARE = 0.4;
/** What a failed request counts as, in expected first-token times. */
const FAILURE_RATIO = 10;
/** A sample counts at most so much either way. */
const HIGHEST_RATIO = 20;

/**
 * How an endpoint compares with its lane: a peak-sensitive moving mean of its
 * times to first token over what was expected (peak EWMA). It is a geometric
 * mean, so that one outlier weighs little.
 */
export class EndpointHealth {
  private meanLogarithm = 0;
  private observedAt = 0;

  /** 1 is as expected; 10 is ten times slower. */
  get slowness(): number {
    return Math.exp(this.meanLogarithm);
  }

  /**
   * The slowness if work that is still awaited came now: an endpoint that has
   * stopped answers nothing, so its silence has to count.
   */
  slownessWith(overdueRatio: number, now: number): number {
    return overdueRatio > this.slowness
      ? Math.exp(this.weighed(overdueRatio, now))
      : this.slowness;
  }

  /** Learns a time to first token over the expected one. */
  observe(ratio: number, now: number): void {
    this.meanLogarithm = this.weighed(ratio, now);
    this.observedAt = now;
  }

  /**
   * A failure counts as very slow: an endpoint that fails at once frees its
   * slot at once, and would else draw all the work to itself.
   */
  observeFailure(now: number): void {
    this.observe(FAILURE_RATIO, now);
  }

  /** Forgets the past, after probes went well. */
  reset(): void {
    this.meanLogarithm = 0;
  }

  private weighed(ratio: number, now: number): number {
    const sample = Math.log(
      Math.min(HIGHEST_RATIO, Math.max(1 / HIGHEST_RATIO, ratio)),
    );
    const span =
      sample > this.meanLogarithm ? RISE_MILLISECONDS : FALL_MILLISECONDS;
    const elapsed = Math.max(0, now - this.observedAt);
    const share = Math.min(LARGEST_SHARE, 1 - Math.exp(-elapsed / span));
    return this.meanLogarithm + share * (sample - this.meanLogarithm);
  }
}

/**
 * Time constant with which the slowness of an endpoint rises, in milliseconds.
 * One long prompt delays all requests placed beside it, so many late first
 * tokens that arrive at the same moment are a single observation. If they were
 * counted separately, a fleet with a mix of long and short prompts would shed
 * half of itself. Samples are therefore weighted by the time that they cover.
 */
const RISE_TIME_CONSTANT_MILLISECONDS = 2_000;
/**
 * Time constant with which the slowness falls, in milliseconds. It is longer, so
 * that an endpoint is considered slow sooner than it is considered recovered.
 */
const FALL_TIME_CONSTANT_MILLISECONDS = 4_000;
/** Maximum weight of one sample after a period without samples. */
const MAXIMUM_SAMPLE_WEIGHT = 0.4;
/**
 * Ratio recorded for a failed request, in multiples of the expected time to
 * first token.
 */
const FAILURE_RATIO = 10;
/** Upper bound of a sample's ratio; its reciprocal is the lower bound. */
const MAXIMUM_RATIO = 20;

/**
 * Compares an endpoint with its lane: a peak-sensitive moving average (peak
 * EWMA) of the ratio between its times to first token and the expected ones.
 * The average is geometric, so a single outlier has little weight.
 */
export class EndpointHealth {
  private meanLogarithm = 0;
  private observedAt = 0;

  /** 1 is as fast as expected; 10 is ten times slower. */
  get slowness(): number {
    return Math.exp(this.meanLogarithm);
  }

  /**
   * The slowness if the outstanding first token arrived now. An endpoint that
   * has stopped produces no samples, so its silence has to count.
   */
  slownessWith(overdueRatio: number, now: number): number {
    return overdueRatio > this.slowness
      ? Math.exp(this.updatedMean(overdueRatio, now))
      : this.slowness;
  }

  /** Records the ratio of a time to first token to the expected time. */
  observe(ratio: number, now: number): void {
    this.meanLogarithm = this.updatedMean(ratio, now);
    this.observedAt = now;
  }

  /**
   * Records a failure as a very slow answer. An endpoint that fails immediately
   * also frees its slot immediately, and would otherwise attract all the work.
   */
  observeFailure(now: number): void {
    this.observe(FAILURE_RATIO, now);
  }

  /** Discards the history after successful probes. */
  reset(): void {
    this.meanLogarithm = 0;
  }

  private updatedMean(ratio: number, now: number): number {
    const sample = Math.log(
      Math.min(MAXIMUM_RATIO, Math.max(1 / MAXIMUM_RATIO, ratio)),
    );
    const timeConstant =
      sample > this.meanLogarithm
        ? RISE_TIME_CONSTANT_MILLISECONDS
        : FALL_TIME_CONSTANT_MILLISECONDS;
    const elapsed = Math.max(0, now - this.observedAt);
    const weight = Math.min(
      MAXIMUM_SAMPLE_WEIGHT,
      1 - Math.exp(-elapsed / timeConstant),
    );
    return this.meanLogarithm + weight * (sample - this.meanLogarithm);
  }
}

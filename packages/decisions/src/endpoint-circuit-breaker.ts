/**
 * Time for which the breaker stays open after a first failure, in milliseconds.
 * A crashed endpoint stays on the list for three of its heartbeats, and without
 * a pause each request placed there would cost its caller a resend.
 */
const MINIMUM_OPEN_MILLISECONDS = 500;
/**
 * Maximum time between two trial requests to a failing endpoint, in
 * milliseconds, because it may have restarted.
 */
const MAXIMUM_OPEN_MILLISECONDS = 4_000;
/**
 * Approximate number of answers covered by the mean share of failed answers.
 */
const MEAN_WINDOW_ANSWERS = 12;
/**
 * An endpoint is avoided if its share of failed answers exceeds that of the
 * better half of its service by more than this. Some services fail a share of
 * their answers on every endpoint, so the share alone is not conclusive.
 */
const MAXIMUM_EXCESS_FAILED_SHARE = 0.25;

/**
 * Circuit breaker for one endpoint, driven by its answers. There are no health
 * checks.
 */
export class EndpointCircuitBreaker {
  private openMilliseconds = 0;
  private openUntil = -Infinity;
  private meanFailedShare = 0;
  private trials = 0;
  private isSilent = false;

  /** @param onTrip Called when the breaker opens after a success. */
  constructor(private readonly onTrip: () => void = () => undefined) {}

  /** Moving average of the share of failed answers. */
  get failedShare(): number {
    return this.meanFailedShare;
  }

  /**
   * Whether requests may be sent: false while the breaker is open, or while a
   * trial request is in progress after that.
   */
  isAvailable(now: number): boolean {
    return now >= this.openUntil && !(this.isTripped && this.trials > 0);
  }

  /** True from a failure until the next successful answer. */
  get isTripped(): boolean {
    return this.openMilliseconds > 0;
  }

  /** Records that a request was sent. */
  requestSent(): void {
    if (this.isTripped) {
      this.trials++;
    }
  }

  /**
   * Records that the endpoint has been silent for much longer than others. When
   * a data centre is cut off and packets are dropped, no connection breaks. If
   * only broken connections counted, requests would be sent there until their
   * callers time out, and each of them would be lost.
   */
  recordSilence(now: number): void {
    if (now >= this.openUntil) {
      this.isSilent = true;
      this.trip(now);
    }
  }

  /**
   * Records a response of any kind: the endpoint was slow rather than silent.
   */
  recordResponse(): void {
    if (this.isSilent) {
      this.isSilent = false;
      this.openMilliseconds = 0;
      this.openUntil = -Infinity;
      this.trials = 0;
    }
  }

  /** Records a complete, successful answer. */
  recordSuccess(): void {
    this.updateFailedShare(0);
    this.isSilent = false;
    this.openMilliseconds = 0;
    this.trials = 0;
  }

  /** Records an answer that says that the request failed. */
  recordFailedAnswer(): void {
    this.updateFailedShare(1);
    this.trials = Math.max(0, this.trials - 1);
  }

  /** Records a failed or broken connection, silence, or an invalid response. */
  recordConnectionFailure(now: number): void {
    this.updateFailedShare(1);
    this.trials = 0;
    if (now >= this.openUntil) {
      this.trip(now);
    }
  }

  /** Records the end of a request that is not conclusive about the endpoint. */
  requestEnded(): void {
    this.trials = Math.max(0, this.trials - 1);
  }

  private trip(now: number): void {
    this.trials = 0;
    if (!this.isTripped) {
      this.onTrip();
    }
    this.openMilliseconds = Math.min(
      MAXIMUM_OPEN_MILLISECONDS,
      Math.max(MINIMUM_OPEN_MILLISECONDS, 2 * this.openMilliseconds),
    );
    this.openUntil = now + this.openMilliseconds;
  }

  private updateFailedShare(failed: 0 | 1): void {
    this.meanFailedShare +=
      (failed - this.meanFailedShare) / MEAN_WINDOW_ANSWERS;
  }
}

/**
 * Returns the share of failed answers above which an endpoint fails clearly
 * more often than the better half of its service.
 *
 * @param allShares The shares of all endpoints of the service.
 * @example
 * ```ts
 * const limit = failedShareLimit([0.1, 0.15, 0.6]); // 0.4
 * ```
 */
export function failedShareLimit(allShares: readonly number[]): number {
  const sorted = [...allShares].sort((one, other) => one - other);
  const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  return median + MAXIMUM_EXCESS_FAILED_SHARE;
}

/**
 * After a first failure an endpoint gets nothing for this long. Load: an endpoint
 * has crashed and the list still names it for three of its heartbeats. Harm:
 * without a pause each request placed there costs its caller a resend.
 */
const FIRST_PAUSE_MILLISECONDS = 500;
/** A failing endpoint is tried again at least this often: it may have restarted. */
const LONGEST_PAUSE_MILLISECONDS = 4_000;
/** The mean share of failed answers follows about so many answers. */
const SHARE_SAMPLES = 12;
/**
 * An endpoint that fails this much more of its answers than its service's best
 * half is passed over. Some services fail a part of their answers everywhere, so that
 * the share itself says nothing.
 */
const EXCESS_SHARE = 0.25;

/** What the answers of one endpoint say of it. No health checks are made. */
export class EndpointTrust {
  private pauseMilliseconds = 0;
  private pausedUntil = -Infinity;
  private failedShareMean = 0;
  private probes = 0;
  private isSilent = false;

  /** The mean share of failed answers. */
  get failedShare(): number {
    return this.failedShareMean;
  }

  /** False while it is paused, or one request tries it out after a pause. */
  isTrusted(now: number): boolean {
    return now >= this.pausedUntil && !(this.isOnTrial && this.probes > 0);
  }

  /** True from a failure until the next good answer. */
  get isOnTrial(): boolean {
    return this.pauseMilliseconds > 0;
  }

  /** A request was sent. */
  sent(): void {
    if (this.isOnTrial) {
      this.probes++;
    }
  }

  /**
   * It says nothing for much longer than others. Load: a data centre is cut off, and
   * packets are dropped: no connection breaks. Harm of learning from breaks alone:
   * requests go there until their callers' time is over, each of them lost.
   */
  fellSilent(now: number): void {
    if (now >= this.pausedUntil) {
      this.isSilent = true;
      this.pause(now);
    }
  }

  /** Any answer came: what was taken for silence was slowness. */
  spoke(): void {
    if (this.isSilent) {
      this.isSilent = false;
      this.pauseMilliseconds = 0;
      this.pausedUntil = -Infinity;
      this.probes = 0;
    }
  }

  /** A whole, good answer came. */
  succeeded(): void {
    this.learn(0);
    this.isSilent = false;
    this.pauseMilliseconds = 0;
    this.probes = 0;
  }

  /** It answered that the request failed. */
  answeredFailure(): void {
    this.learn(1);
    this.probes = Math.max(0, this.probes - 1);
  }

  /** No connection, a broken one, silence, or no answer in the protocol. */
  broke(now: number): void {
    this.learn(1);
    this.probes = 0;
    if (now >= this.pausedUntil) {
      this.pause(now);
    }
  }

  /** A request ended and says nothing of the endpoint. */
  released(): void {
    this.probes = Math.max(0, this.probes - 1);
  }

  private pause(now: number): void {
    this.probes = 0;
    this.pauseMilliseconds = Math.min(
      LONGEST_PAUSE_MILLISECONDS,
      Math.max(FIRST_PAUSE_MILLISECONDS, 2 * this.pauseMilliseconds),
    );
    this.pausedUntil = now + this.pauseMilliseconds;
  }

  private learn(failed: 0 | 1): void {
    this.failedShareMean += (failed - this.failedShareMean) / SHARE_SAMPLES;
  }
}

/**
 * An endpoint whose mean share of failed answers is above this fails clearly more than
 * the better half of its service.
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
  return median + EXCESS_SHARE;
}

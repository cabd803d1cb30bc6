import type {EndpointState} from './endpoint-state.js';

/** Decides which endpoints are too slow to get work. */
export abstract class SheddingPolicy {
  /**
   * @param overdueRatio Age of the oldest request that awaits its first token,
   *     over the expected time.
   */
  abstract isSlow(
    state: EndpointState,
    overdueRatio: number,
    now: number,
  ): boolean;

  /** How long after the last probe the next may go, in milliseconds. */
  abstract probeIntervalMilliseconds(failedProbes: number): number;

  /** True where a probe's first token came fast enough. */
  abstract isGoodProbe(ratio: number): boolean;
}

/** Every endpoint gets work: the baseline. */
export class NeverShed extends SheddingPolicy {
  override isSlow(): boolean {
    return false;
  }

  override probeIntervalMilliseconds(): number {
    return 0;
  }

  override isGoodProbe(): boolean {
    return true;
  }
}

import type {EndpointState} from './endpoint-state.js';

/** Decides which endpoints are too slow to receive work. */
export abstract class SheddingPolicy {
  /**
   * @param overdueRatio Age of the oldest request without a first token,
   *     divided by the expected time to first token.
   */
  abstract isSlow(
    state: EndpointState,
    overdueRatio: number,
    now: number,
  ): boolean;

  /** Returns the minimum interval between two probes, in milliseconds. */
  abstract probeIntervalMilliseconds(failedProbes: number): number;

  /** Whether the first token of a probe arrived fast enough. */
  abstract isGoodProbe(ratio: number): boolean;
}

/** Baseline policy: never sheds an endpoint. */
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

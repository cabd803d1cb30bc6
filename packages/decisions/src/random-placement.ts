import type {EndpointState} from './endpoint-state.js';
import {PlacementPolicy} from './placement-policy.js';
import type {WorkItem} from './work.js';

/** Any endpoint with a free slot: the baseline. */
export class RandomPlacement extends PlacementPolicy {
  /** @param fraction Random numbers from 0 (included) to 1 (excluded). */
  constructor(private readonly fraction: () => number) {
    super();
  }

  override choose(
    _item: WorkItem,
    candidates: readonly EndpointState[],
  ): EndpointState | undefined {
    return candidates[Math.floor(this.fraction() * candidates.length)];
  }
}

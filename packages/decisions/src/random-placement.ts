import type {EndpointPool} from './endpoint-pool.js';
import type {EndpointState} from './endpoint-state.js';
import {PlacementPolicy} from './placement-policy.js';
import type {WorkItem} from './work.js';

/** Baseline policy: any endpoint with a free slot. */
export class RandomPlacement extends PlacementPolicy {
  /** @param fraction Returns random numbers in [0, 1). */
  constructor(private readonly fraction: () => number) {
    super();
  }

  override choose(
    _item: WorkItem,
    pool: EndpointPool,
  ): EndpointState | undefined {
    return pool.freeAt(Math.floor(this.fraction() * pool.freeEndpoints));
  }

  override placed(): void {
    // Random placement has no state.
  }

  override announced(): void {
    // Random placement has no state.
  }

  override removed(): void {
    // Random placement has no state.
  }
}

import type {EndpointPool} from './endpoint-pool.js';
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
    pool: EndpointPool,
  ): EndpointState | undefined {
    return pool.freeAt(Math.floor(this.fraction() * pool.freeEndpoints));
  }

  override placed(): void {
    // Nothing is learnt.
  }

  override announced(): void {
    // Nothing is learnt.
  }

  override removed(): void {
    // Nothing is learnt.
  }
}

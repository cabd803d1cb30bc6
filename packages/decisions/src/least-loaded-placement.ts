import type {EndpointState} from './endpoint-state.js';
import {PlacementPolicy} from './placement-policy.js';
import type {WorkItem} from './work.js';

function utilisation(state: EndpointState): number {
  return state.load / state.description.slots;
}

/** The endpoint with the smallest share of its slots taken. */
export class LeastLoadedPlacement extends PlacementPolicy {
  override choose(
    item: WorkItem,
    candidates: readonly EndpointState[],
  ): EndpointState | undefined {
    const others = candidates.filter(
      candidate => candidate.endpoint !== item.avoidEndpoint,
    );
    const pool = others.length > 0 ? others : candidates;
    return pool.reduce<EndpointState | undefined>(
      (best, candidate) =>
        best === undefined || utilisation(candidate) < utilisation(best)
          ? candidate
          : best,
      undefined,
    );
  }
}

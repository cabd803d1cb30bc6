import type {EndpointState} from './endpoint-state.js';
import type {WorkItem} from './work.js';

/** Chooses among endpoints that have a free slot. */
export abstract class PlacementPolicy {
  /**
   * @param candidates Endpoints with a free slot, none of them leaving.
   * @returns Undefined only where there is no candidate.
   */
  abstract choose(
    item: WorkItem,
    candidates: readonly EndpointState[],
    now: number,
  ): EndpointState | undefined;
}

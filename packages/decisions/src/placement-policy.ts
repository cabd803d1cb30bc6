import type {EndpointPool} from './endpoint-pool.js';
import type {EndpointState} from './endpoint-state.js';
import type {WorkItem} from './work.js';

/** Chooses among the endpoints of one lane that have a free slot. */
export abstract class PlacementPolicy {
  /**
   * @param pool Endpoints with a free slot; none of them is leaving or shed.
   * @returns Undefined only if no endpoint has a free slot.
   */
  abstract choose(
    item: WorkItem,
    pool: EndpointPool,
  ): EndpointState | undefined;

  /** Records the placement of a request. */
  abstract placed(item: WorkItem, state: EndpointState): void;

  /**
   * Records cached prefixes that an endpoint announced. Events arrive late and
   * with gaps, so a prefix may be cached without having been announced.
   */
  abstract announced(
    state: EndpointState,
    prefixHashes: readonly string[],
  ): void;

  /** Records that an endpoint was removed. */
  abstract removed(state: EndpointState): void;
}

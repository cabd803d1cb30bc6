import type {EndpointPool} from './endpoint-pool.js';
import type {EndpointState} from './endpoint-state.js';
import type {WorkItem} from './work.js';

/** Chooses among the endpoints of one lane that have a free slot. */
export abstract class PlacementPolicy {
  /**
   * @param pool Endpoints with a free slot; none of them is leaving or shed.
   * @returns Undefined only where no endpoint has a free slot.
   */
  abstract choose(
    item: WorkItem,
    pool: EndpointPool,
  ): EndpointState | undefined;

  /** A request was placed. */
  abstract placed(item: WorkItem, state: EndpointState): void;

  /**
   * An endpoint announced cached prefixes. Events come late and with gaps, so
   * that what was not announced may be cached all the same.
   */
  abstract announced(
    state: EndpointState,
    prefixHashes: readonly string[],
  ): void;

  /** An endpoint is gone. */
  abstract removed(state: EndpointState): void;
}

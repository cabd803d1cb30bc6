import {EndpointPool} from './endpoint-pool.js';
import type {EndpointState} from './endpoint-state.js';
import type {ShiftPolicy} from './shift-policy.js';

/** The endpoints of one lane in another data centre. */
export interface RemotePool {
  readonly dataCenter: string;
  readonly roundTripMilliseconds: number;
  readonly pool: EndpointPool;
}

/** The endpoints of one lane, grouped by data centre, nearest first. */
export class EndpointPools {
  readonly local = new EndpointPool();
  private readonly remotePools: RemotePool[] = [];
  private readonly poolByState = new Map<EndpointState, EndpointPool>();

  constructor(
    private readonly shift: ShiftPolicy,
    private readonly dataCenter: string,
    private readonly roundTripMilliseconds: (dataCenter: string) => number,
  ) {}

  /** Pools of other data centres, by ascending round-trip time. */
  get remote(): readonly RemotePool[] {
    return this.remotePools;
  }

  /** Number of slots that this router may use, over all data centres. */
  get slots(): number {
    return this.remotePools.reduce(
      (sum, {pool}) => sum + pool.slots,
      this.local.slots,
    );
  }

  /** Number of endpoints, whether usable or not. */
  get size(): number {
    return this.poolByState.size;
  }

  /**
   * Updates the pool of an endpoint after a change to it.
   *
   * @param usableSlots 0 if the endpoint may receive no work now.
   */
  refresh(state: EndpointState, usableSlots: number): void {
    const pool = this.poolFor(state.description.dataCenter);
    const previous = this.poolByState.get(state);
    if (previous !== pool) {
      previous?.remove(state);
      this.poolByState.set(state, pool);
    }
    const isLocal = pool === this.local;
    const slots =
      isLocal || usableSlots === 0
        ? usableSlots
        : this.shift.remoteSlots(usableSlots);
    pool.refresh(state, slots);
  }

  /** Removes an endpoint. */
  remove(state: EndpointState): void {
    this.poolByState.get(state)?.remove(state);
    this.poolByState.delete(state);
  }

  private poolFor(dataCenter: string): EndpointPool {
    if (dataCenter === this.dataCenter) {
      return this.local;
    }
    const existing = this.remotePools.find(
      remote => remote.dataCenter === dataCenter,
    );
    return existing?.pool ?? this.addRemotePool(dataCenter);
  }

  private addRemotePool(dataCenter: string): EndpointPool {
    const pool = new EndpointPool();
    const roundTripMilliseconds = this.roundTripMilliseconds(dataCenter);
    this.remotePools.push({
      dataCenter,
      roundTripMilliseconds,
      pool,
    });
    this.remotePools.sort(
      (left, right) => left.roundTripMilliseconds - right.roundTripMilliseconds,
    );
    return pool;
  }
}

import {EndpointPool} from './endpoint-pool.js';
import type {EndpointState} from './endpoint-state.js';
import type {ShiftPolicy} from './shift-policy.js';

/** The endpoints of one lane in another data centre. */
export interface RemotePool {
  readonly dataCenter: string;
  readonly tripMilliseconds: number;
  readonly pool: EndpointPool;
}

/** The endpoints of one lane by data centre, the nearest first. */
export class EndpointPools {
  readonly local = new EndpointPool();
  private readonly remotePools: RemotePool[] = [];
  private readonly poolOf = new Map<EndpointState, EndpointPool>();

  constructor(
    private readonly shift: ShiftPolicy,
    private readonly dataCenter: string,
    private readonly tripMilliseconds: (dataCenter: string) => number,
  ) {}

  /** Other data centres, the shortest trip first. */
  get remote(): readonly RemotePool[] {
    return this.remotePools;
  }

  /** Slots that this router's work may fill, in all data centres. */
  get slots(): number {
    return this.remotePools.reduce(
      (sum, {pool}) => sum + pool.slots,
      this.local.slots,
    );
  }

  /** Endpoints known, whether they may be used or not. */
  get size(): number {
    return this.poolOf.size;
  }

  /**
   * Takes in what changed at an endpoint.
   *
   * @param usableSlots 0 where it may get no work now.
   */
  refresh(state: EndpointState, usableSlots: number): void {
    const pool = this.poolFor(state.description.dataCenter);
    const former = this.poolOf.get(state);
    if (former !== pool) {
      former?.remove(state);
      this.poolOf.set(state, pool);
    }
    const isLocal = pool === this.local;
    const slots =
      isLocal || usableSlots === 0
        ? usableSlots
        : this.shift.remoteSlots(usableSlots);
    pool.refresh(state, slots);
  }

  /** Takes an endpoint out. */
  remove(state: EndpointState): void {
    this.poolOf.get(state)?.remove(state);
    this.poolOf.delete(state);
  }

  private poolFor(dataCenter: string): EndpointPool {
    if (dataCenter === this.dataCenter) {
      return this.local;
    }
    const known = this.remotePools.find(
      remote => remote.dataCenter === dataCenter,
    );
    return known?.pool ?? this.addRemotePool(dataCenter);
  }

  private addRemotePool(dataCenter: string): EndpointPool {
    const pool = new EndpointPool();
    const tripMilliseconds = this.tripMilliseconds(dataCenter);
    this.remotePools.push({dataCenter, tripMilliseconds, pool});
    this.remotePools.sort(
      (left, right) => left.tripMilliseconds - right.tripMilliseconds,
    );
    return pool;
  }
}

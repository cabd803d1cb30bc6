import type {EndpointState} from './endpoint-state.js';

interface Membership {
  readonly slots: number;
  readonly load: number;
  readonly interactive: number;
}

/**
 * The endpoints of one lane in one data centre. Endpoints with a free slot are
 * kept in an array, so that drawing one at random, adding and removing take
 * constant time regardless of the number of endpoints.
 */
export class EndpointPool {
  private readonly members = new Map<EndpointState, Membership>();
  private readonly freeStates: EndpointState[] = [];
  private readonly positions = new Map<EndpointState, number>();
  private slotSum = 0;
  private loadSum = 0;
  private interactiveSum = 0;

  /** Number of endpoints with a free slot. */
  get freeEndpoints(): number {
    return this.freeStates.length;
  }

  /** Number of usable slots, free or occupied. */
  get slots(): number {
    return this.slotSum;
  }

  /** Number of free slots. */
  get freeSlots(): number {
    return this.slotSum - this.loadSum;
  }

  /** Number of slots occupied by this router's interactive requests. */
  get interactive(): number {
    return this.interactiveSum;
  }

  /** Share of the slots that is occupied. */
  get utilisation(): number {
    return this.slotSum === 0 ? 1 : this.loadSum / this.slotSum;
  }

  isFree(state: EndpointState): boolean {
    return this.positions.has(state);
  }

  /** @param position An index from 0 to below `freeEndpoints`. */
  freeAt(position: number): EndpointState | undefined {
    return this.freeStates[position];
  }

  /**
   * Updates the pool after a change to an endpoint.
   *
   * @param slots Number of this router's requests that it may hold; 0 removes
   *     it.
   */
  refresh(state: EndpointState, slots: number): void {
    this.subtractSums(state);
    if (slots > 0) {
      const load = state.ownInProgress;
      const interactive = state.ownInteractive;
      this.members.set(state, {slots, load, interactive});
      this.interactiveSum += interactive;
      this.slotSum += slots;
      this.loadSum += load;
    }
    this.setFree(state, state.ownInProgress < slots);
  }

  /** Removes an endpoint. */
  remove(state: EndpointState): void {
    this.refresh(state, 0);
  }

  private subtractSums(state: EndpointState): void {
    const membership = this.members.get(state);
    if (membership !== undefined) {
      this.slotSum -= membership.slots;
      this.loadSum -= membership.load;
      this.interactiveSum -= membership.interactive;
      this.members.delete(state);
    }
  }

  private setFree(state: EndpointState, isFree: boolean): void {
    const position = this.positions.get(state);
    if (isFree === (position !== undefined)) {
      return;
    }
    if (position === undefined) {
      this.positions.set(state, this.freeStates.length);
      this.freeStates.push(state);
      return;
    }
    this.positions.delete(state);
    const last = this.freeStates.pop();
    if (last !== undefined && last !== state) {
      this.freeStates[position] = last;
      this.positions.set(last, position);
    }
  }
}

import type {EndpointState} from './endpoint-state.js';

interface Membership {
  readonly slots: number;
  readonly load: number;
  readonly interactive: number;
}

/**
 * The endpoints of one lane in one data centre. Keeps those with a free slot in
 * an array, so that drawing one at random, adding and removing take constant
 * time whatever the number of endpoints.
 */
export class EndpointPool {
  private readonly members = new Map<EndpointState, Membership>();
  private readonly free: EndpointState[] = [];
  private readonly positions = new Map<EndpointState, number>();
  private slotSum = 0;
  private loadSum = 0;
  private interactiveSum = 0;

  /** Endpoints that have a free slot. */
  get freeEndpoints(): number {
    return this.free.length;
  }

  /** Slots that may be filled, free or not. */
  get slots(): number {
    return this.slotSum;
  }

  /** Slots that are free. */
  get freeSlots(): number {
    return this.slotSum - this.loadSum;
  }

  /** Slots taken by this router's interactive work. */
  get interactive(): number {
    return this.interactiveSum;
  }

  /** The mean share of the slots that is taken. */
  get utilisation(): number {
    return this.slotSum === 0 ? 1 : this.loadSum / this.slotSum;
  }

  isFree(state: EndpointState): boolean {
    return this.positions.has(state);
  }

  /** @param position From 0 to below freeEndpoints. */
  freeAt(position: number): EndpointState | undefined {
    return this.free[position];
  }

  /**
   * Takes in what changed at an endpoint.
   *
   * @param slots How many of this router's requests it may hold; 0 takes it out.
   */
  refresh(state: EndpointState, slots: number): void {
    this.forgetSums(state);
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

  /** Takes an endpoint out. */
  remove(state: EndpointState): void {
    this.refresh(state, 0);
  }

  private forgetSums(state: EndpointState): void {
    const known = this.members.get(state);
    if (known !== undefined) {
      this.slotSum -= known.slots;
      this.loadSum -= known.load;
      this.interactiveSum -= known.interactive;
      this.members.delete(state);
    }
  }

  private setFree(state: EndpointState, isFree: boolean): void {
    const position = this.positions.get(state);
    if (isFree === (position !== undefined)) {
      return;
    }
    if (position === undefined) {
      this.positions.set(state, this.free.length);
      this.free.push(state);
      return;
    }
    this.positions.delete(state);
    const last = this.free.pop();
    if (last !== undefined && last !== state) {
      this.free[position] = last;
      this.positions.set(last, position);
    }
  }
}

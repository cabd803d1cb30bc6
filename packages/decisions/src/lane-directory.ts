import type {EndpointDescription} from './endpoint-description.js';
import {EndpointState} from './endpoint-state.js';
import type {Lane} from './lane.js';

function laneKey(service: string, model: string): string {
  return `${service}\u0000${model}`;
}

function laneKeysOf(description: EndpointDescription): readonly string[] {
  const models = description.models.length > 0 ? description.models : [''];
  return models.map(model => laneKey(description.service, model));
}

/** Tracks the known endpoints and the lanes that each of them serves. */
export class LaneDirectory {
  private readonly states = new Map<string, EndpointState>();
  private readonly lanes = new Map<string, Lane>();
  private readonly lanesByState = new Map<EndpointState, readonly Lane[]>();

  /** Endpoints that are no longer listed but still have work in progress. */
  private readonly unlisted = new Set<EndpointState>();

  constructor(private readonly createLane: () => Lane) {}

  get allLanes(): readonly Lane[] {
    return [...this.lanes.values()];
  }

  laneOf(service: string, model: string): Lane | undefined {
    return this.lanes.get(laneKey(service, model));
  }

  stateOf(endpoint: string): EndpointState | undefined {
    return this.states.get(endpoint);
  }

  lanesServedBy(state: EndpointState): readonly Lane[] {
    return this.lanesByState.get(state) ?? [];
  }

  /** Updates every lane that the endpoint serves after a change to it. */
  refresh(state: EndpointState): void {
    for (const lane of this.lanesServedBy(state)) {
      lane.refresh(state);
    }
  }

  /**
   * Applies the full list of endpoints; endpoints that are not listed serve no
   * lane any more.
   */
  update(endpoints: readonly EndpointDescription[]): void {
    const listed = new Set(endpoints.map(({endpoint}) => endpoint));
    for (const state of [...this.states.values()]) {
      if (!listed.has(state.endpoint)) {
        this.unlist(state);
      }
    }
    for (const description of endpoints) {
      this.applyDescription(description);
    }
  }

  /** Updates an endpoint after a request there has ended. */
  release(state: EndpointState): void {
    this.refresh(state);
    this.removeIfIdle(state);
  }

  /**
   * Removes an endpoint from its lanes. It stays known while it has work in
   * progress: if it is listed again, that work still occupies its slots.
   * Otherwise it would receive more work than it has slots.
   */
  private unlist(state: EndpointState): void {
    state.description = {...state.description, leaving: true};
    this.assign(state, []);
    this.unlisted.add(state);
    this.removeIfIdle(state);
  }

  private removeIfIdle(state: EndpointState): void {
    if (this.unlisted.has(state) && state.ownInProgress === 0) {
      this.unlisted.delete(state);
      this.states.delete(state.endpoint);
      this.lanesByState.delete(state);
    }
  }

  private applyDescription(description: EndpointDescription): void {
    const known = this.states.get(description.endpoint);
    const state = known ?? new EndpointState(description);
    state.description = description;
    this.unlisted.delete(state);
    this.states.set(description.endpoint, state);
    this.assign(state, laneKeysOf(description));
  }

  private assign(state: EndpointState, keys: readonly string[]): void {
    const lanes = keys.map(key => this.laneFor(key));
    for (const previous of this.lanesServedBy(state)) {
      if (!lanes.includes(previous)) {
        previous.remove(state);
      }
    }
    this.lanesByState.set(state, lanes);
    this.refresh(state);
  }

  private laneFor(key: string): Lane {
    const known = this.lanes.get(key);
    if (known !== undefined) {
      return known;
    }
    const lane = this.createLane();
    this.lanes.set(key, lane);
    return lane;
  }
}

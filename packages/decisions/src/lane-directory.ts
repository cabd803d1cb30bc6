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

/** Which endpoints there are, and which lanes each of them serves. */
export class LaneDirectory {
  private readonly states = new Map<string, EndpointState>();
  private readonly lanes = new Map<string, Lane>();
  private readonly lanesByState = new Map<EndpointState, readonly Lane[]>();

  /** Not on the list any more, but still at work. */
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

  /** Takes in what changed at an endpoint, in every lane that it serves. */
  refresh(state: EndpointState): void {
    for (const lane of this.lanesServedBy(state)) {
      lane.refresh(state);
    }
  }

  /** Takes the whole list; endpoints not on it serve nothing any more. */
  update(endpoints: readonly EndpointDescription[]): void {
    const listed = new Set(endpoints.map(({endpoint}) => endpoint));
    for (const state of [...this.states.values()]) {
      if (!listed.has(state.endpoint)) {
        this.drop(state);
      }
    }
    for (const description of endpoints) {
      this.describe(description);
    }
  }

  /** Work has ended at an endpoint. */
  release(state: EndpointState): void {
    this.refresh(state);
    this.forgetIfDone(state);
  }

  /**
   * An endpoint with work in progress stays known when it vanishes from the
   * list: if it is listed again, that work still takes its slots. Forgotten, it
   * would get more work than it has slots.
   */
  private drop(state: EndpointState): void {
    state.description = {...state.description, leaving: true};
    this.assign(state, []);
    this.unlisted.add(state);
    this.forgetIfDone(state);
  }

  private forgetIfDone(state: EndpointState): void {
    if (this.unlisted.has(state) && state.ownInProgress === 0) {
      this.unlisted.delete(state);
      this.states.delete(state.endpoint);
      this.lanesByState.delete(state);
    }
  }

  private describe(description: EndpointDescription): void {
    const known = this.states.get(description.endpoint);
    const state = known ?? new EndpointState(description);
    state.description = description;
    this.unlisted.delete(state);
    this.states.set(description.endpoint, state);
    this.assign(state, laneKeysOf(description));
  }

  private assign(state: EndpointState, keys: readonly string[]): void {
    const lanes = keys.map(key => this.laneFor(key));
    for (const former of this.lanesServedBy(state)) {
      if (!lanes.includes(former)) {
        former.remove(state);
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

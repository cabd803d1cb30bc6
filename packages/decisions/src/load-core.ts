import {
  DecisionKind,
  RefusalReason,
  type Decision,
  type RefuseDecision,
} from './decision.js';
import type {
  EndpointDescription,
  EngineLoadReport,
} from './endpoint-description.js';
import {EndpointState} from './endpoint-state.js';
import {FirstComeQueue} from './first-come-queue.js';
import {LeastLoadedPlacement} from './least-loaded-placement.js';
import type {PlacementPolicy} from './placement-policy.js';
import type {QueuedWork, QueuePolicy} from './queue-policy.js';
import type {WorkItem, WorkResult} from './work.js';

/** What a core is made with. */
export interface LoadCoreOptions {
  /** The router's own data centre. */
  readonly dataCenter: string;
  /** Requests that may wait, over all services. */
  readonly maximumQueuedRequests: number;
  /** Random numbers from 0 (included) to 1 (excluded). */
  readonly fraction: () => number;
}

/** Told to a caller when nothing better is known. */
const DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;

/** Requests for one service and model wait in one queue. */
interface Lane {
  readonly queue: QueuePolicy;
  readonly endpoints: EndpointState[];
}

function laneKey(service: string, model: string): string {
  return `${service}\u0000${model}`;
}

function laneKeysOf(description: EndpointDescription): string[] {
  const models = description.models.length > 0 ? description.models : [''];
  return models.map(model => laneKey(description.service, model));
}

/**
 * All decisions of one router under load, without input or output: time is an
 * argument, randomness is handed in, and decisions are returned.
 *
 * Each request offered is in one of three states until it ends: queued, placed
 * at one endpoint, or refused for good.
 *
 * @example
 * ```ts
 * const core = new LoadCore({
 *   dataCenter: 'kigali-1',
 *   maximumQueuedRequests: 1_000,
 *   fraction: () => random.fraction(),
 * });
 * core.updateEndpoints(endpoints, now);
 * const decision = core.offer(item, now);
 * ```
 */
export class LoadCore {
  private readonly states = new Map<string, EndpointState>();
  private readonly lanes = new Map<string, Lane>();
  private readonly queued = new Map<string, QueuedWork>();
  private readonly placedAt = new Map<string, EndpointState>();
  private readonly placement: PlacementPolicy = new LeastLoadedPlacement();

  constructor(private readonly options: LoadCoreOptions) {}

  /** Number of requests that wait. */
  get queuedRequests(): number {
    return this.queued.size;
  }

  /** Number of requests placed and not ended. */
  get placedRequests(): number {
    return this.placedAt.size;
  }

  /**
   * Takes the whole list of endpoints. One that is no longer listed gets no new
   * work; its work in progress goes on undisturbed.
   *
   * @returns Placements and refusals that follow.
   */
  updateEndpoints(
    endpoints: readonly EndpointDescription[],
    now: number,
  ): readonly Decision[] {
    const listed = new Set(endpoints.map(({endpoint}) => endpoint));
    for (const state of this.states.values()) {
      if (!listed.has(state.endpoint)) {
        this.dropEndpoint(state);
      }
    }
    for (const description of endpoints) {
      const state = this.states.get(description.endpoint);
      if (state === undefined) {
        this.states.set(description.endpoint, new EndpointState(description));
      } else {
        state.description = description;
      }
    }
    this.rebuildLanes();
    return [...this.advance(now), ...this.placeWaiting(now)];
  }

  /**
   * Decides a new request.
   *
   * @example
   * ```ts
   * const decision = core.offer(item, clock.monotonicMilliseconds());
   * if (decision.kind === DecisionKind.Place) dispatch(decision.endpoint);
   * ```
   */
  offer(item: WorkItem, now: number): Decision {
    const lane = this.lanes.get(laneKey(item.service, item.model));
    if (lane === undefined || lane.endpoints.every(state => state.leaving)) {
      return this.refuse(item, RefusalReason.NoEndpoint);
    }
    if (item.deadlineAt <= now) {
      return this.refuse(item, RefusalReason.DeadlinePassed);
    }
    const chosen =
      lane.queue.size === 0 ? this.choose(item, lane, now) : undefined;
    if (chosen !== undefined) {
      return this.place(item, chosen, now);
    }
    if (this.queued.size >= this.options.maximumQueuedRequests) {
      return this.refuse(item, RefusalReason.QueueFull);
    }
    const work = {item, queuedAt: now};
    this.queued.set(item.requestId, work);
    lane.queue.push(work);
    return {kind: DecisionKind.Queue, requestId: item.requestId};
  }

  /** The first token of placed work has arrived. */
  firstToken(requestId: string, now: number): void {
    this.placedAt.get(requestId)?.firstToken(requestId, now);
  }

  /**
   * Placed work has ended, in whatever way.
   *
   * @returns Placements and refusals that follow from the free slot.
   */
  finished(
    requestId: string,
    _result: WorkResult,
    now: number,
  ): readonly Decision[] {
    const state = this.placedAt.get(requestId);
    if (state === undefined) {
      return [];
    }
    this.placedAt.delete(requestId);
    state.end(requestId);
    return [...this.advance(now), ...this.placeWaiting(now)];
  }

  /**
   * The caller gave up. Waiting work is forgotten; placed work stays counted
   * until `finished`, since its endpoint still works on it.
   */
  withdraw(requestId: string, now: number): readonly Decision[] {
    const work = this.queued.get(requestId);
    if (work !== undefined) {
      this.forgetQueued(work);
    }
    return this.advance(now);
  }

  /** Refuses waiting work whose deadline has passed. */
  advance(now: number): readonly Decision[] {
    const expired = [...this.queued.values()].filter(
      ({item}) => item.deadlineAt <= now,
    );
    for (const work of expired) {
      this.forgetQueued(work);
    }
    return expired.map(({item}) =>
      this.refuse(item, RefusalReason.DeadlinePassed),
    );
  }

  /**
   * Takes an engine's lagging report.
   *
   * @returns Placements that follow.
   */
  report(
    endpoint: string,
    report: EngineLoadReport,
    now: number,
  ): readonly Decision[] {
    this.states.get(endpoint)?.report(report);
    return [...this.advance(now), ...this.placeWaiting(now)];
  }

  /** When `advance` has to be called next; undefined while nothing waits. */
  nextWakeAt(): number | undefined {
    let earliest: number | undefined;
    for (const {item} of this.queued.values()) {
      earliest = Math.min(earliest ?? item.deadlineAt, item.deadlineAt);
    }
    return earliest;
  }

  private dropEndpoint(state: EndpointState): void {
    state.description = {...state.description, leaving: true};
    if (state.ownInProgress === 0) {
      this.states.delete(state.endpoint);
    }
  }

  private rebuildLanes(): void {
    for (const lane of this.lanes.values()) {
      lane.endpoints.length = 0;
    }
    for (const state of this.states.values()) {
      for (const key of laneKeysOf(state.description)) {
        this.laneOf(key).endpoints.push(state);
      }
    }
  }

  private laneOf(key: string): Lane {
    const known = this.lanes.get(key);
    if (known !== undefined) {
      return known;
    }
    const lane: Lane = {queue: new FirstComeQueue(), endpoints: []};
    this.lanes.set(key, lane);
    return lane;
  }

  private choose(
    item: WorkItem,
    lane: Lane,
    now: number,
  ): EndpointState | undefined {
    const free = lane.endpoints.filter(state => state.hasFreeSlot);
    const local = free.filter(
      state => state.description.dataCenter === this.options.dataCenter,
    );
    return this.placement.choose(item, local.length > 0 ? local : free, now);
  }

  private placeWaiting(now: number): Decision[] {
    const decisions: Decision[] = [];
    for (const lane of this.lanes.values()) {
      for (;;) {
        const next = lane.queue.peek(now);
        const chosen =
          next === undefined ? undefined : this.choose(next.item, lane, now);
        if (next === undefined || chosen === undefined) {
          break;
        }
        this.forgetQueued(next);
        decisions.push(this.place(next.item, chosen, now));
      }
    }
    return decisions;
  }

  private place(item: WorkItem, state: EndpointState, now: number): Decision {
    state.begin(item.requestId, now);
    this.placedAt.set(item.requestId, state);
    return {
      kind: DecisionKind.Place,
      requestId: item.requestId,
      endpoint: state.endpoint,
    };
  }

  private forgetQueued(work: QueuedWork): void {
    const {requestId, service, model} = work.item;
    this.queued.delete(requestId);
    this.lanes.get(laneKey(service, model))?.queue.remove(requestId);
  }

  private refuse(item: WorkItem, reason: RefusalReason): RefuseDecision {
    return {
      kind: DecisionKind.Refuse,
      requestId: item.requestId,
      reason,
      retryAfterMilliseconds: DEFAULT_RETRY_AFTER_MILLISECONDS,
    };
  }
}

import {DecisionKind, RefusalReason, type Decision} from './decision.js';
import type {
  EndpointDescription,
  EngineLoadReport,
} from './endpoint-description.js';
import type {PlacedWork} from './endpoint-state.js';
import {Lane, type Choice} from './lane.js';
import {LaneDirectory} from './lane-directory.js';
import type {LoadCoreOptions} from './load-core-options.js';
import {chosenPolicies, type LoadPolicies} from './load-policies.js';
import {Refusals} from './refusals.js';
import type {WaitEstimate} from './refusal-policy.js';
import {serveWaiting} from './serve-waiting.js';
import {WaitingWork} from './waiting-work.js';
import {WorkOutcome, type WorkItem, type WorkResult} from './work.js';

/** Today's data centres are one to one and a half milliseconds apart one way. */
const DEFAULT_TRIP_MILLISECONDS = 3;

interface Placement {
  readonly work: PlacedWork;
  readonly lane: Lane;
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
  private readonly policies: LoadPolicies;
  private readonly directory: LaneDirectory;
  private readonly waiting = new WaitingWork();
  private readonly placed = new Map<string, Placement>();
  private readonly refusals: Refusals;

  constructor(private readonly options: LoadCoreOptions) {
    const policies = options.policies ?? chosenPolicies(options.fraction);
    const trip = options.tripMilliseconds ?? (() => DEFAULT_TRIP_MILLISECONDS);
    this.policies = policies;
    this.refusals = new Refusals(options.fraction);
    this.directory = new LaneDirectory(
      () => new Lane(policies, options.dataCenter, trip),
    );
  }

  /** Number of requests that wait. */
  get queuedRequests(): number {
    return this.waiting.size;
  }

  /** Number of requests placed and not ended. */
  get placedRequests(): number {
    return this.placed.size;
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
    this.directory.update(endpoints);
    const lanes = this.directory.allLanes;
    return [
      ...this.advance(now),
      ...this.placeWaiting(lanes, now),
      ...lanes.flatMap(lane => this.refuseUnserved(lane, now)),
    ];
  }

  /**
   * Decides a new request.
   *
   * @throws RangeError where the identifier is waiting or placed already.
   * @example
   * ```ts
   * const decision = core.offer(item, clock.monotonicMilliseconds());
   * if (decision.kind === DecisionKind.Place) dispatch(decision.endpoint);
   * ```
   */
  offer(item: WorkItem, now: number): Decision {
    this.assertNew(item.requestId);
    const lane = this.directory.laneOf(item.service, item.model);
    if (lane?.isServed !== true) {
      return this.refusals.refuseWithoutEndpoint(item);
    }
    const estimate = lane.estimate(item, now);
    const refusal = this.policies.admission.admit(item, estimate.isOverloaded);
    if (refusal !== undefined) {
      return this.refusals.refuse(
        item,
        lane,
        refusal,
        estimate.waitMilliseconds,
        now,
      );
    }
    const choice = lane.queue.mayOvertake(item)
      ? lane.choose(item, now)
      : lane.chooseRemote(item, now);
    return choice === undefined
      ? this.queueOrRefuse(item, lane, estimate, now)
      : this.place(item, lane, choice, now);
  }

  /** The first token of placed work has arrived. */
  firstToken(requestId: string, now: number): void {
    const placement = this.placed.get(requestId);
    if (placement?.work.firstTokenAt !== undefined || !placement) {
      return;
    }
    placement.work.firstTokenAt = now;
    placement.work.state.firstToken(requestId);
    placement.lane.firstToken(placement.work, now);
  }

  /**
   * Placed work has ended, in whatever way.
   *
   * @returns Placements and refusals that follow from the free slot.
   */
  finished(
    requestId: string,
    result: WorkResult,
    now: number,
  ): readonly Decision[] {
    const placement = this.placed.get(requestId);
    if (placement === undefined) {
      return [];
    }
    if (result.outcome === WorkOutcome.Answered) {
      this.firstToken(requestId, now);
    }
    this.placed.delete(requestId);
    const {state} = placement.work;
    state.end(requestId, now);
    placement.lane.ended(placement.work, result, now);
    this.directory.release(state);
    const lanes = this.directory.lanesServedBy(state);
    return [...this.advance(now), ...this.placeWaiting(lanes, now)];
  }

  /**
   * The caller gave up. Waiting work is forgotten; placed work stays counted
   * until `finished`, since its endpoint still works on it.
   *
   * @returns Placements and refusals that follow.
   */
  withdraw(requestId: string, now: number): readonly Decision[] {
    this.waiting.take(requestId, now);
    return this.advance(now);
  }

  /** Refuses waiting work whose time has run out. */
  advance(now: number): readonly Decision[] {
    const decisions: Decision[] = [];
    for (;;) {
      const expired = this.waiting.takeExpired(now);
      if (expired === undefined) {
        return decisions;
      }
      const {work, lane} = expired;
      const {waitMilliseconds} = lane.estimate(work.item, now);
      decisions.push(
        this.refusals.refuse(
          work.item,
          lane,
          RefusalReason.DeadlinePassed,
          waitMilliseconds,
          now,
        ),
      );
    }
  }

  /**
   * Takes an engine's lagging report.
   *
   * @returns Placements and refusals that follow.
   */
  report(
    endpoint: string,
    report: EngineLoadReport,
    now: number,
  ): readonly Decision[] {
    const state = this.directory.stateOf(endpoint);
    if (state === undefined) {
      return [];
    }
    state.report(report, now);
    this.directory.refresh(state);
    const lanes = this.directory.lanesServedBy(state);
    for (const lane of lanes) {
      lane.placement.announced(state, report.cachedPrefixes);
    }
    return [
      ...this.advance(now),
      ...this.placeWaiting(lanes, now),
      ...lanes.flatMap(lane => this.refuseUnserved(lane, now)),
    ];
  }

  /** When `advance` has to be called next; undefined while nothing expires. */
  nextWakeAt(): number | undefined {
    return this.waiting.firstExpiry;
  }

  private assertNew(requestId: string): void {
    if (this.placed.has(requestId) || this.waiting.has(requestId)) {
      throw new RangeError(`${requestId} was offered already`);
    }
  }

  private queueOrRefuse(
    item: WorkItem,
    lane: Lane,
    estimate: WaitEstimate,
    now: number,
  ): Decision {
    const early = this.policies.refusal.refuse(item, estimate, now);
    if (early !== undefined) {
      const {reason, excessMilliseconds} = early;
      return this.refusals.refuse(item, lane, reason, excessMilliseconds, now);
    }
    const full = this.policies.admission.admitToQueue({
      queued: this.waiting.size,
      queuedOfOrganisation: this.waiting.sizeOf(item.organisation),
      maximumQueued: this.options.maximumQueuedRequests,
    });
    if (full !== undefined) {
      return this.refusals.refuse(
        item,
        lane,
        full,
        estimate.waitMilliseconds,
        now,
      );
    }
    const expiresAt = this.policies.refusal.refuseAt(item, estimate);
    this.waiting.add({work: {item, queuedAt: now}, lane}, expiresAt, now);
    return {kind: DecisionKind.Queue, requestId: item.requestId};
  }

  private placeWaiting(lanes: readonly Lane[], now: number): Decision[] {
    return serveWaiting(lanes, now, (item, lane, choice) => {
      this.waiting.take(item.requestId, now);
      return this.place(item, lane, choice, now);
    });
  }

  /** Nobody waits for endpoints that are all gone or leaving. */
  private refuseUnserved(lane: Lane, now: number): Decision[] {
    if (lane.isServed) {
      return [];
    }
    return this.waiting
      .takeAll(lane, now)
      .map(({item}) => this.refusals.refuseWithoutEndpoint(item));
  }

  private place(
    item: WorkItem,
    lane: Lane,
    choice: Choice,
    now: number,
  ): Decision {
    const {state} = choice;
    const work = {...choice, item, placedAt: now, firstTokenAt: undefined};
    state.begin(work);
    this.placed.set(item.requestId, {work, lane});
    lane.queue.charge(item);
    lane.placement.placed(item, state);
    this.directory.refresh(state);
    return {
      kind: DecisionKind.Place,
      requestId: item.requestId,
      endpoint: state.endpoint,
    };
  }
}

import {DecisionKind, RefusalReason, type Decision} from './decision.js';
import type {
  EndpointDescription,
  EngineLoadReport,
} from './endpoint-description.js';
import type {PlacedWork} from './endpoint-state.js';
import {Lane, type PlacementChoice} from './lane.js';
import {LaneDirectory} from './lane-directory.js';
import type {LoadCoreOptions} from './load-core-options.js';
import {chosenPolicies, type LoadPolicies} from './load-policies.js';
import {Refusals} from './refusals.js';
import type {WaitEstimate} from './refusal-policy.js';
import {placeWaitingRequests} from './place-waiting-requests.js';
import {WaitingWork} from './waiting-work.js';
import {WorkOutcome, type WorkItem, type WorkResult} from './work.js';

/**
 * Default round-trip time between data centres, in milliseconds. They are
 * currently 1 to 1.5 ms apart one way.
 */
const DEFAULT_ROUND_TRIP_MILLISECONDS = 3;

interface Placement {
  readonly work: PlacedWork;
  readonly lane: Lane;
}

/**
 * All load decisions of one router, without I/O: time is passed as an argument,
 * randomness is injected, and decisions are returned.
 *
 * Until it ends, each offered request is in one of three states: queued, placed
 * on one endpoint, or finally refused.
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
    const roundTripMilliseconds =
      options.roundTripMilliseconds ?? (() => DEFAULT_ROUND_TRIP_MILLISECONDS);
    this.policies = policies;
    this.refusals = new Refusals(options.fraction);
    this.directory = new LaneDirectory(
      () => new Lane(policies, options.dataCenter, roundTripMilliseconds),
    );
  }

  /** Number of queued requests. */
  get queuedRequests(): number {
    return this.waiting.size;
  }

  /** Number of placed requests that have not ended. */
  get placedRequests(): number {
    return this.placed.size;
  }

  /**
   * Applies the full list of endpoints. An endpoint that is no longer listed
   * receives no new work; its work in progress continues.
   *
   * @returns The resulting placements and refusals.
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
   * @throws RangeError if a request with this identifier is already queued or
   * placed.
   * @example
   * ```ts
   * const decision = core.offer(item, clock.monotonicMilliseconds());
   * if (decision.kind === DecisionKind.Place) dispatch(decision.endpoint);
   * ```
   */
  offer(item: WorkItem, now: number): Decision {
    this.assertNotOffered(item.requestId);
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

  /** Records the first token of a placed request. */
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
   * Records the end of a placed request, whatever its outcome.
   *
   * @returns The placements and refusals that result from the free slot.
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
   * Withdraws a request that its caller cancelled. A queued request is removed;
   * a placed request counts until `finished` is called, because its endpoint is
   * still working on it.
   *
   * @returns The resulting placements and refusals.
   */
  withdraw(requestId: string, now: number): readonly Decision[] {
    this.waiting.remove(requestId, now);
    return this.advance(now);
  }

  /** Refuses queued requests whose deadline has passed. */
  advance(now: number): readonly Decision[] {
    const decisions: Decision[] = [];
    for (;;) {
      const expired = this.waiting.removeExpired(now);
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
   * Applies an engine's lagging load report.
   *
   * @returns The resulting placements and refusals.
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

  /**
   * Returns when `advance` must be called next, or undefined if no queued
   * request expires.
   */
  nextWakeAt(): number | undefined {
    return this.waiting.firstExpiry;
  }

  private assertNotOffered(requestId: string): void {
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
    const refusal = this.policies.refusal.refuse(item, estimate, now);
    if (refusal !== undefined) {
      const {reason, excessMilliseconds} = refusal;
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
    return placeWaitingRequests(lanes, now, (item, lane, choice) => {
      this.waiting.remove(item.requestId, now);
      return this.place(item, lane, choice, now);
    });
  }

  /**
   * Refuses the queued requests of a lane whose endpoints are all removed or
   * leaving.
   */
  private refuseUnserved(lane: Lane, now: number): Decision[] {
    if (lane.isServed) {
      return [];
    }
    return this.waiting
      .removeAll(lane, now)
      .map(({item}) => this.refusals.refuseWithoutEndpoint(item));
  }

  private place(
    item: WorkItem,
    lane: Lane,
    choice: PlacementChoice,
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

import type {EndpointPool} from './endpoint-pool.js';
import {EndpointPools} from './endpoint-pools.js';
import type {EndpointState, PlacedWork} from './endpoint-state.js';
import type {LoadPolicies} from './load-policies.js';
import type {PlacementPolicy} from './placement-policy.js';
import type {QueuePolicy} from './queue-policy.js';
import type {WaitEstimate} from './refusal-policy.js';
import {ServiceTiming} from './service-timing.js';
import {ShedEndpoints} from './shed-endpoints.js';
import {StandingQueue} from './standing-queue.js';
import {WorkOutcome, type WorkItem, type WorkResult} from './work.js';

/** The endpoint chosen for a request. */
export interface PlacementChoice {
  readonly state: EndpointState;
  readonly isProbe: boolean;
}

/**
 * Maximum share of a lane's endpoints that is shed at once. When every endpoint
 * is slow, shedding some would slow down the remaining ones until they are shed
 * too.
 */
const MAXIMUM_SHED_SHARE = 1 / 3;

/**
 * State of one service and model: the queue of its waiting requests, the
 * endpoints that serve it, and their timing.
 */
export class Lane {
  readonly queue: QueuePolicy;
  readonly pools: EndpointPools;
  readonly placement: PlacementPolicy;
  private readonly timing = new ServiceTiming();
  private readonly shedEndpoints: ShedEndpoints;
  private readonly standingQueue: StandingQueue;

  constructor(
    private readonly policies: LoadPolicies,
    dataCenter: string,
    roundTripMilliseconds: (dataCenter: string) => number,
  ) {
    this.queue = policies.createQueue();
    this.placement = policies.createPlacement();
    this.pools = new EndpointPools(
      policies.shift,
      dataCenter,
      roundTripMilliseconds,
    );
    this.shedEndpoints = new ShedEndpoints(policies.shedding);
    this.standingQueue = new StandingQueue(this.queue);
  }

  /** Updates the lane after a change to one of its endpoints. */
  refresh(state: EndpointState): void {
    if (state.leaving) {
      this.shedEndpoints.remove(state);
    }
    this.pools.refresh(
      state,
      this.shedEndpoints.has(state) ? 0 : state.usableSlots,
    );
  }

  /** Removes an endpoint that no longer serves this lane. */
  remove(state: EndpointState): void {
    this.pools.remove(state);
    this.shedEndpoints.remove(state);
    this.placement.removed(state);
  }

  /** Must be called whenever a request is queued or removed from the queue. */
  observeQueue(now: number): void {
    this.standingQueue.observe(now);
  }

  /** True if the lane has an endpoint that is not leaving. */
  get isServed(): boolean {
    return this.pools.slots > 0 || this.shedEndpoints.size > 0;
  }

  /**
   * Estimates the wait and the time to first token of a request that is queued
   * now.
   */
  estimate(item: WorkItem, now: number): WaitEstimate {
    return {
      waitMilliseconds: this.waitMilliseconds(item, this.pools.slots),
      firstTokenMilliseconds: this.timing.firstTokenMilliseconds(
        item.promptTokens,
      ),
      isOverloaded: this.standingQueue.isOverloaded(item.workClass, now),
    };
  }

  /**
   * Returns the mean interval at which the organisation's share serves such a
   * request, in milliseconds.
   */
  serviceIntervalMilliseconds(item: WorkItem): number {
    const {requests} = this.queue.backlogAhead(item);
    const one = this.timing.serviceMilliseconds({
      requests: 1,
      outputTokens: item.maximumOutputTokens,
    });
    const others = Math.max(1, requests / Math.max(1, this.queue.size));
    return (one * others) / Math.max(1, this.pools.slots);
  }

  /**
   * Returns the endpoint for the next request, or undefined if none is free.
   */
  choose(item: WorkItem, now: number): PlacementChoice | undefined {
    const endpointToProbe = this.shedEndpoints.dueProbe(item, now);
    if (endpointToProbe !== undefined) {
      return {state: endpointToProbe, isProbe: true};
    }
    const local = this.chooseFrom(this.pools.local, item, now);
    return local === undefined
      ? this.chooseRemote(item, now)
      : this.regularChoice(local);
  }

  /**
   * Returns an endpoint in another data centre, for a request that may not
   * overtake the requests queued for a local one.
   */
  chooseRemote(item: WorkItem, now: number): PlacementChoice | undefined {
    const wait = this.waitMilliseconds(item, this.pools.local.slots);
    for (const {roundTripMilliseconds, pool} of this.pools.remote) {
      if (!this.policies.shift.isShiftWorthwhile(wait, roundTripMilliseconds)) {
        return undefined;
      }
      const state = this.chooseFrom(pool, item, now);
      if (state !== undefined) {
        return this.regularChoice(state);
      }
    }
    return undefined;
  }

  /** Records the first token of a request. */
  firstToken(work: PlacedWork, now: number): void {
    const milliseconds = now - work.placedAt;
    const ratio = this.firstTokenRatio(work, now);
    if (!this.shedEndpoints.has(work.state)) {
      this.timing.observeFirstToken(work.item.promptTokens, milliseconds);
    }
    work.state.health.observe(ratio, now);
    this.evaluate(work, ratio, now);
  }

  /** Records the end of a placed request, whatever its outcome. */
  ended(work: PlacedWork, result: WorkResult, now: number): void {
    this.queue.settle(work.item, result.promptTokens + result.outputTokens);
    switch (result.outcome) {
      case WorkOutcome.Answered:
        this.answered(work, result, now);
        break;
      case WorkOutcome.Failed:
        this.failed(work, now);
        break;
      case WorkOutcome.Cancelled:
        this.cancelled(work, now);
        break;
      case WorkOutcome.NotDispatched:
        this.shedEndpoints.abandonProbe(work);
        break;
    }
  }

  /** Records a request that its endpoint failed. */
  private failed(work: PlacedWork, now: number): void {
    work.state.health.observeFailure(now);
    this.evaluate(work, Infinity, now);
  }

  /**
   * Records a request that ended before its answer was complete. If its first
   * token was overdue, this counts like a late first token.
   */
  private cancelled(work: PlacedWork, now: number): void {
    if (work.firstTokenAt !== undefined) {
      return;
    }
    const ratio = this.firstTokenRatio(work, now);
    if (ratio > work.state.health.slowness) {
      work.state.health.observe(ratio, now);
      this.evaluate(work, ratio, now);
    } else {
      this.shedEndpoints.abandonProbe(work);
    }
  }

  /** Records a completely received answer. */
  private answered(work: PlacedWork, result: WorkResult, now: number): void {
    const {item, state, firstTokenAt = now} = work;
    const {outputTokens} = result;
    const milliseconds = now - firstTokenAt;
    if (!this.shedEndpoints.has(state)) {
      this.timing.observeAnswer(
        item.maximumOutputTokens,
        outputTokens,
        milliseconds,
      );
      return;
    }
    const ratio = this.timing.answerRatio(outputTokens, milliseconds);
    if (this.shedEndpoints.observeAnswer(state, ratio, firstTokenAt)) {
      this.recover(state);
    }
  }

  private regularChoice(state: EndpointState): PlacementChoice {
    this.shedEndpoints.countPlacement();
    return {state, isProbe: false};
  }

  /** Sheds endpoints that turn out to be overdue during the choice. */
  private chooseFrom(
    pool: EndpointPool,
    item: WorkItem,
    now: number,
  ): EndpointState | undefined {
    if (this.isReserved(pool, item)) {
      return undefined;
    }
    for (;;) {
      const state = this.placement.choose(item, pool);
      if (state === undefined || !this.shedIfSlow(state, now)) {
        return state;
      }
    }
  }

  /**
   * Whether the free slots are reserved for work with precedence. While such
   * work waits, the queue itself decides which request is next. Batch work
   * receives its guaranteed share even if interactive work that never waits
   * fills the remaining slots.
   */
  private isReserved(pool: EndpointPool, item: WorkItem): boolean {
    return (
      !this.queue.hasPrecedence(item) &&
      !this.queue.hasPrecedenceWaiting &&
      !this.queue.isBatchStarved &&
      !this.policies.admission.mayUseFreeSlot({
        free: pool.freeSlots,
        interactive: pool.interactive,
      })
    );
  }

  /**
   * Returns the time until the backlog ahead and one more request have been
   * served by the slots.
   */
  private waitMilliseconds(item: WorkItem, slots: number): number {
    if (slots === 0) {
      return Infinity;
    }
    const ahead = this.queue.backlogAhead(item);
    const service = this.timing.serviceMilliseconds({
      requests: ahead.requests + 1,
      outputTokens: ahead.outputTokens + item.maximumOutputTokens,
    });
    return service / slots;
  }

  private evaluate(work: PlacedWork, ratio: number, now: number): void {
    const {state} = work;
    if (!this.shedEndpoints.has(state)) {
      this.shedIfSlow(state, now);
      return;
    }
    if (work.isProbe && this.shedEndpoints.observeProbe(state, ratio)) {
      this.recover(state);
    }
  }

  private recover(state: EndpointState): void {
    this.shedEndpoints.remove(state);
    state.health.reset();
    this.refresh(state);
  }

  private shedIfSlow(state: EndpointState, now: number): boolean {
    const oldest = state.oldestAwaitingFirstToken;
    const overdueRatio =
      oldest === undefined ? 0 : this.firstTokenRatio(oldest, now);
    const shedLimit = Math.ceil(MAXIMUM_SHED_SHARE * (this.pools.size - 1));
    if (
      this.shedEndpoints.size + 1 > shedLimit ||
      !this.policies.shedding.isSlow(state, overdueRatio, now)
    ) {
      return false;
    }
    this.shedEndpoints.add(state, now);
    this.refresh(state);
    return true;
  }

  /**
   * Returns the time since the placement divided by the expected time to first
   * token.
   */
  private firstTokenRatio(work: PlacedWork, now: number): number {
    const expected = this.timing.firstTokenMilliseconds(work.item.promptTokens);
    return this.timing.hasFirstTokenSample
      ? (now - work.placedAt) / Math.max(1, expected)
      : 1;
  }
}

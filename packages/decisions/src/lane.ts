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

/** Where a request goes. */
export interface Choice {
  readonly state: EndpointState;
  readonly isProbe: boolean;
}

/**
 * At most this part of a lane's endpoints is shed at once. Load: everything is
 * slow. Harm: what is left gets slower still and is shed too.
 */
const LARGEST_SHED_SHARE = 1 / 3;

/**
 * Everything about one service and model: the queue of its waiting requests, the
 * endpoints that serve it, and how long they take.
 */
export class Lane {
  readonly queue: QueuePolicy;
  readonly pools: EndpointPools;
  readonly placement: PlacementPolicy;
  private readonly timing = new ServiceTiming();
  private readonly shed: ShedEndpoints;
  private readonly standing: StandingQueue;

  constructor(
    private readonly policies: LoadPolicies,
    dataCenter: string,
    tripMilliseconds: (dataCenter: string) => number,
  ) {
    this.queue = policies.createQueue();
    this.placement = policies.createPlacement();
    this.pools = new EndpointPools(
      policies.shift,
      dataCenter,
      tripMilliseconds,
    );
    this.shed = new ShedEndpoints(policies.shedding);
    this.standing = new StandingQueue(this.queue);
  }

  /** Takes in whatever changed at an endpoint of the lane. */
  refresh(state: EndpointState): void {
    if (state.leaving) {
      this.shed.remove(state);
    }
    this.pools.refresh(state, this.shed.has(state) ? 0 : state.usableSlots);
  }

  /** The endpoint serves this lane no more. */
  remove(state: EndpointState): void {
    this.pools.remove(state);
    this.shed.remove(state);
    this.placement.removed(state);
  }

  /** Has to be called whenever work was queued or taken. */
  observeQueue(now: number): void {
    this.standing.observe(now);
  }

  /** True where the lane has an endpoint that is not leaving. */
  get isServed(): boolean {
    return this.pools.slots > 0 || this.shed.size > 0;
  }

  /** What is expected of a request that joined the queue now. */
  estimate(item: WorkItem, now: number): WaitEstimate {
    return {
      waitMilliseconds: this.waitMilliseconds(item, this.pools.slots),
      firstTokenMilliseconds: this.timing.firstTokenMilliseconds(
        item.promptTokens,
      ),
      isOverloaded: this.standing.isOverloaded(item.workClass, now),
    };
  }

  /** How long the organisation's share takes to serve one such request. */
  turnMilliseconds(item: WorkItem): number {
    const {requests} = this.queue.ahead(item);
    const one = this.timing.serviceMilliseconds({
      requests: 1,
      outputTokens: item.maximumOutputTokens,
    });
    const others = Math.max(1, requests / Math.max(1, this.queue.size));
    return (one * others) / Math.max(1, this.pools.slots);
  }

  /** The endpoint for the request that is next, or undefined where none is free. */
  choose(item: WorkItem, now: number): Choice | undefined {
    const probed = this.shed.dueProbe(item, now);
    if (probed !== undefined) {
      return {state: probed, isProbe: true};
    }
    const local = this.chooseFrom(this.pools.local, item, now);
    return local === undefined
      ? this.chooseRemote(item, now)
      : this.regularChoice(local);
  }

  /**
   * An endpoint in another data centre, for a request that may not overtake
   * those that wait here for a local one.
   */
  chooseRemote(item: WorkItem, now: number): Choice | undefined {
    const wait = this.waitMilliseconds(item, this.pools.local.slots);
    for (const {tripMilliseconds, pool} of this.pools.remote) {
      if (!this.policies.shift.isWorthTheTrip(wait, tripMilliseconds)) {
        return undefined;
      }
      const state = this.chooseFrom(pool, item, now);
      if (state !== undefined) {
        return this.regularChoice(state);
      }
    }
    return undefined;
  }

  /** A first token has come. */
  firstToken(work: PlacedWork, now: number): void {
    const milliseconds = now - work.placedAt;
    const ratio = this.ratioOf(work, now);
    if (!this.shed.has(work.state)) {
      this.timing.observeFirstToken(work.item.promptTokens, milliseconds);
    }
    work.state.health.observe(ratio, now);
    this.judge(work, ratio, now);
  }

  /** Placed work has ended, in whatever way. */
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
        this.abandoned(work, now);
        break;
      case WorkOutcome.NotDispatched:
        this.shed.abandonProbe(work);
        break;
    }
  }

  /** An endpoint failed a request. */
  private failed(work: PlacedWork, now: number): void {
    work.state.health.observeFailure(now);
    this.judge(work, Infinity, now);
  }

  /**
   * A request ended before its answer did. Where its first token was overdue,
   * that says as much of the endpoint as a late one.
   */
  private abandoned(work: PlacedWork, now: number): void {
    if (work.firstTokenAt !== undefined) {
      return;
    }
    const ratio = this.ratioOf(work, now);
    if (ratio > work.state.health.slowness) {
      work.state.health.observe(ratio, now);
      this.judge(work, ratio, now);
    } else {
      this.shed.abandonProbe(work);
    }
  }

  /** A whole answer was read. */
  private answered(work: PlacedWork, result: WorkResult, now: number): void {
    const {item, state, firstTokenAt = now} = work;
    const {outputTokens} = result;
    const milliseconds = now - firstTokenAt;
    if (!this.shed.has(state)) {
      this.timing.observeAnswer(
        item.maximumOutputTokens,
        outputTokens,
        milliseconds,
      );
      return;
    }
    const ratio = this.timing.answerRatio(outputTokens, milliseconds);
    if (this.shed.observeAnswer(state, ratio, firstTokenAt)) {
      this.recover(state);
    }
  }

  private regularChoice(state: EndpointState): Choice {
    this.shed.countPlacement();
    return {state, isProbe: false};
  }

  /** Sheds whatever turns out to be overdue on the way. */
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
   * Whether free slots are kept from ordinary work. While work with precedence
   * waits, the queue itself decides whose turn it is; and batch work gets its
   * share even where interactive work that never waits fills the rest.
   */
  private isReserved(pool: EndpointPool, item: WorkItem): boolean {
    return (
      !this.queue.hasPrecedence(item) &&
      !this.queue.precedenceWaits &&
      !this.queue.owesBatch &&
      !this.policies.admission.mayTakeOrdinary({
        free: pool.freeSlots,
        interactive: pool.interactive,
      })
    );
  }

  /** Until the work ahead, and then one more request, have passed the slots. */
  private waitMilliseconds(item: WorkItem, slots: number): number {
    if (slots === 0) {
      return Infinity;
    }
    const ahead = this.queue.ahead(item);
    const service = this.timing.serviceMilliseconds({
      requests: ahead.requests + 1,
      outputTokens: ahead.outputTokens + item.maximumOutputTokens,
    });
    return service / slots;
  }

  private judge(work: PlacedWork, ratio: number, now: number): void {
    const {state} = work;
    if (!this.shed.has(state)) {
      this.shedIfSlow(state, now);
      return;
    }
    if (work.isProbe && this.shed.observeProbe(state, ratio)) {
      this.recover(state);
    }
  }

  private recover(state: EndpointState): void {
    this.shed.remove(state);
    state.health.reset();
    this.refresh(state);
  }

  private shedIfSlow(state: EndpointState, now: number): boolean {
    const oldest = state.oldestAwaited;
    const overdueRatio = oldest === undefined ? 0 : this.ratioOf(oldest, now);
    const shedLimit = Math.ceil(LARGEST_SHED_SHARE * (this.pools.size - 1));
    if (
      this.shed.size + 1 > shedLimit ||
      !this.policies.shedding.isSlow(state, overdueRatio, now)
    ) {
      return false;
    }
    this.shed.add(state, now);
    this.refresh(state);
    return true;
  }

  /** Time since the placement over the expected time to the first token. */
  private ratioOf(work: PlacedWork, now: number): number {
    const expected = this.timing.firstTokenMilliseconds(work.item.promptTokens);
    return this.timing.isKnown
      ? (now - work.placedAt) / Math.max(1, expected)
      : 1;
  }
}

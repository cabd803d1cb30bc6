import {OrderOutcome, type PlannedOrder} from './engine-order.js';
import {OrderPlanner, type FleetView} from './order-planner.js';
import {wishesFor, type OrderWish} from './order-wishes.js';
import type {WeightBudget} from './weight-budget.js';

/**
 * At most this part of the slots is disturbed at once, but always one engine.
 * Load: a new version is in force while the fleet is busy. Harm: engines that
 * change together leave too few for the work.
 */
const LARGEST_DISTURBED_SHARE = 0.25;

/**
 * An engine that ignores fencing numbers gets no other order for this long after
 * one whose fate is unknown. Failure: the lost order is carried out after a
 * later one, and an old version comes back. No order of this planner takes
 * longer, so that after the wait none can be under way.
 */
const UNKNOWN_FATE_WAIT_MILLISECONDS = 120_000;

/** What a rolling planner is made with. */
export interface RollingOrderPlannerOptions {
  readonly weights: WeightBudget;
  /**
   * Lies above all numbers that other planners may have used: the log's offset
   * of the record by which this one took over, times the step below.
   */
  readonly firstFencingNumber: number;
  /** Orders to engines that ignore fencing numbers wait until then. */
  readonly quietUntil: number;
}

/** Fencing numbers that one take-over leaves room for. */
export const FENCING_NUMBERS_PER_OFFSET = 1_000_000;

/**
 * Changes the fleet step by step: one order at a time to an engine, a quarter of
 * the slots at a time, and fetches within the weight store's limit.
 *
 * Orders carry rising fencing numbers, so that an engine which checks them never
 * obeys a planner that has been replaced. Where an engine ignores them, only
 * time helps: a new planner waits until orders of the old one have ended.
 *
 * @example
 * ```ts
 * const planner = new RollingOrderPlanner({
 *   weights: new WeightBudget(2, 30_000, now),
 *   firstFencingNumber: offset * FENCING_NUMBERS_PER_OFFSET,
 *   quietUntil: now + 120_000,
 * });
 * for (const order of planner.plan(view, now)) give(order);
 * ```
 */
export class RollingOrderPlanner extends OrderPlanner {
  private readonly outstanding = new Map<string, PlannedOrder>();
  private readonly disturbed = new Set<string>();
  private readonly blockedUntil = new Map<string, number>();
  private nextFencingNumber: number;
  private isReplaced = false;

  constructor(private readonly options: RollingOrderPlannerOptions) {
    super();
    this.nextFencingNumber = options.firstFencingNumber;
  }

  /** True once an engine refused an order as too old: another one plans. */
  get hasBeenReplaced(): boolean {
    return this.isReplaced;
  }

  override plan(view: FleetView, now: number): readonly PlannedOrder[] {
    if (this.isReplaced) {
      return [];
    }
    const orders: PlannedOrder[] = [];
    for (const wish of wishesFor(view)) {
      if (this.mayOrder(wish, view, now)) {
        orders.push(this.order(wish));
      }
    }
    return orders;
  }

  override ended(
    order: PlannedOrder,
    outcome: OrderOutcome,
    now: number,
  ): void {
    this.forget(order);
    if (outcome === OrderOutcome.Fenced) {
      this.isReplaced = true;
    }
    if (outcome === OrderOutcome.Unknown) {
      const until = now + UNKNOWN_FATE_WAIT_MILLISECONDS;
      this.blockedUntil.set(order.endpoint, until);
    }
  }

  override refusedWeights(
    order: PlannedOrder,
    retryAfterMilliseconds: number,
    now: number,
  ): void {
    this.forget(order);
    this.options.weights.refused(retryAfterMilliseconds, now);
  }

  private forget(order: PlannedOrder): void {
    if (this.outstanding.get(order.endpoint) === order) {
      this.outstanding.delete(order.endpoint);
      this.disturbed.delete(order.endpoint);
    }
  }

  private mayOrder(wish: OrderWish, view: FleetView, now: number): boolean {
    const {engine, disturbs, fetchesWeights} = wish;
    return (
      !this.outstanding.has(engine.endpoint) &&
      this.isSafe(wish, now) &&
      (!disturbs || this.mayDisturb(wish, view)) &&
      (!fetchesWeights || this.options.weights.take(now))
    );
  }

  private isSafe({engine}: OrderWish, now: number): boolean {
    if (engine.checksFencingNumbers) {
      return true;
    }
    const blockedUntil = this.blockedUntil.get(engine.endpoint) ?? 0;
    return now >= Math.max(blockedUntil, this.options.quietUntil);
  }

  private mayDisturb({engine}: OrderWish, {engines}: FleetView): boolean {
    const all = engines.reduce((sum, each) => sum + each.slots, 0);
    const disturbed = engines
      .filter(each => each.leaving || this.disturbed.has(each.endpoint))
      .reduce((sum, each) => sum + each.slots, 0);
    return (
      disturbed === 0 ||
      disturbed + engine.slots <= all * LARGEST_DISTURBED_SHARE
    );
  }

  private order(wish: OrderWish): PlannedOrder {
    const {endpoint} = wish.engine;
    const order = {
      endpoint,
      kind: wish.kind,
      subject: wish.subject,
      fencingNumber: this.nextFencingNumber++,
      fetchesWeights: wish.fetchesWeights,
    };
    this.outstanding.set(endpoint, order);
    if (wish.disturbs) {
      this.disturbed.add(endpoint);
    }
    return order;
  }
}

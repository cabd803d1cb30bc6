import {OrderOutcome, type PlannedOrder} from './engine-order.js';
import {OrderPlanner, type FleetView} from './order-planner.js';
import {desiredOrders, type DesiredOrder} from './desired-orders.js';
import type {WeightBudget} from './weight-budget.js';

/**
 * Maximum share of the slots on engines that serve less because of an order,
 * but always at least one engine. If a new version takes effect while the fleet
 * is busy, engines that change at the same time would leave too few slots for
 * the work.
 */
const MAXIMUM_REDUCED_SLOT_SHARE = 0.25;

/**
 * Time for which an engine that ignores fencing numbers receives no further
 * order after one with an unknown outcome, in milliseconds. Otherwise the lost
 * order could be carried out after a later one and restore an old version. No
 * order of this planner takes longer, so none can be in progress after the
 * wait.
 */
const UNKNOWN_OUTCOME_WAIT_MILLISECONDS = 120_000;

/** Options of a `RollingOrderPlanner`. */
export interface RollingOrderPlannerOptions {
  readonly weightBudget: WeightBudget;
  /**
   * Must be greater than all numbers that other planners may have used: the log
   * offset of the record with which this planner took over, times
   * `FENCING_NUMBERS_PER_OFFSET`.
   */
  readonly firstFencingNumber: number;
  /**
   * Time before which engines that ignore fencing numbers receive no orders, in
   * milliseconds.
   */
  readonly unfencedOrdersFrom: number;
}

/** Number of fencing numbers available to each planner that takes over. */
export const FENCING_NUMBERS_PER_OFFSET = 1_000_000;

/**
 * Changes the fleet step by step: one order at a time per engine, a quarter of
 * the slots at a time, and fetches within the weight store's rate limit.
 *
 * Orders carry increasing fencing numbers, so that an engine that checks them
 * never follows a planner that has been superseded. If an engine ignores them,
 * a new planner can only wait until the orders of the previous planner have
 * ended.
 *
 * @example
 * ```ts
 * const planner = new RollingOrderPlanner({
 *   weightBudget: new WeightBudget(2, 30_000, now),
 *   firstFencingNumber: offset * FENCING_NUMBERS_PER_OFFSET,
 *   unfencedOrdersFrom: now + 120_000,
 * });
 * for (const order of planner.plan(view, now)) send(order);
 * ```
 */
export class RollingOrderPlanner extends OrderPlanner {
  private readonly outstanding = new Map<string, PlannedOrder>();
  private readonly reducedEndpoints = new Set<string>();
  private readonly blockedUntil = new Map<string, number>();
  private nextFencingNumber: number;
  private isSuperseded = false;

  constructor(private readonly options: RollingOrderPlannerOptions) {
    super();
    this.nextFencingNumber = options.firstFencingNumber;
  }

  /**
   * True once an engine has rejected an order with an outdated fencing number,
   * which means that another planner has taken over.
   */
  get hasBeenSuperseded(): boolean {
    return this.isSuperseded;
  }

  override plan(view: FleetView, now: number): readonly PlannedOrder[] {
    if (this.isSuperseded) {
      return [];
    }
    const orders: PlannedOrder[] = [];
    for (const desired of desiredOrders(view)) {
      if (this.mayOrder(desired, view, now)) {
        orders.push(this.order(desired));
      }
    }
    return orders;
  }

  override ended(
    order: PlannedOrder,
    outcome: OrderOutcome,
    now: number,
  ): void {
    this.removeOutstanding(order);
    if (outcome === OrderOutcome.Fenced) {
      this.isSuperseded = true;
    }
    if (outcome === OrderOutcome.Unknown) {
      const until = now + UNKNOWN_OUTCOME_WAIT_MILLISECONDS;
      this.blockedUntil.set(order.endpoint, until);
    }
  }

  override weightsRefused(
    order: PlannedOrder,
    retryAfterMilliseconds: number,
    now: number,
  ): void {
    this.removeOutstanding(order);
    this.options.weightBudget.recordRefusal(retryAfterMilliseconds, now);
  }

  private removeOutstanding(order: PlannedOrder): void {
    if (this.outstanding.get(order.endpoint) === order) {
      this.outstanding.delete(order.endpoint);
      this.reducedEndpoints.delete(order.endpoint);
    }
  }

  private mayOrder(
    desired: DesiredOrder,
    view: FleetView,
    now: number,
  ): boolean {
    const {engine, reducesCapacity, fetchesWeights} = desired;
    return (
      !this.outstanding.has(engine.endpoint) &&
      this.isSafeToOrder(desired, now) &&
      (!reducesCapacity || this.mayReduceCapacity(desired, view)) &&
      (!fetchesWeights || this.options.weightBudget.tryTake(now))
    );
  }

  private isSafeToOrder({engine}: DesiredOrder, now: number): boolean {
    if (engine.checksFencingNumbers) {
      return true;
    }
    const blockedUntil = this.blockedUntil.get(engine.endpoint) ?? 0;
    return now >= Math.max(blockedUntil, this.options.unfencedOrdersFrom);
  }

  private mayReduceCapacity(
    {engine}: DesiredOrder,
    {engines}: FleetView,
  ): boolean {
    const allSlots = engines.reduce((sum, each) => sum + each.slots, 0);
    const reducedSlots = engines
      .filter(each => each.leaving || this.reducedEndpoints.has(each.endpoint))
      .reduce((sum, each) => sum + each.slots, 0);
    return (
      reducedSlots === 0 ||
      reducedSlots + engine.slots <= allSlots * MAXIMUM_REDUCED_SLOT_SHARE
    );
  }

  private order(desired: DesiredOrder): PlannedOrder {
    const {endpoint} = desired.engine;
    const order = {
      endpoint,
      kind: desired.kind,
      subject: desired.subject,
      fencingNumber: this.nextFencingNumber++,
      fetchesWeights: desired.fetchesWeights,
    };
    this.outstanding.set(endpoint, order);
    if (desired.reducesCapacity) {
      this.reducedEndpoints.add(endpoint);
    }
    return order;
  }
}

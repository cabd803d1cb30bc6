import type {EngineInventory, FleetTarget} from './engine-inventory.js';
import type {OrderOutcome, PlannedOrder} from './engine-order.js';

/** What a planner is told of the engines. */
export interface FleetView {
  readonly engines: readonly EngineInventory[];
  readonly target: FleetTarget;
}

/** Plans orders to engines; sends none itself. */
export abstract class OrderPlanner {
  /** The orders to give now. Each stays outstanding until `ended`. */
  abstract plan(view: FleetView, now: number): readonly PlannedOrder[];

  /** An order has ended. */
  abstract ended(order: PlannedOrder, outcome: OrderOutcome, now: number): void;

  /** The weight store refused a ticket for the order: it was not given. */
  abstract refusedWeights(
    order: PlannedOrder,
    retryAfterMilliseconds: number,
    now: number,
  ): void;
}

/** Engines stay as they are: the baseline. */
export class NeverOrder extends OrderPlanner {
  override plan(): readonly PlannedOrder[] {
    return [];
  }

  override ended(): void {
    // Nothing was ordered.
  }

  override refusedWeights(): void {
    // Nothing was ordered.
  }
}

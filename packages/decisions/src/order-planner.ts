import type {EngineInventory, FleetTarget} from './engine-inventory.js';
import type {OrderOutcome, PlannedOrder} from './engine-order.js';

/** Current and desired state of the engines. */
export interface FleetView {
  readonly engines: readonly EngineInventory[];
  readonly target: FleetTarget;
}

/** Plans orders to engines; it does not send them. */
export abstract class OrderPlanner {
  /**
   * Returns the orders to send now. Each order stays outstanding until `ended`
   * is called.
   */
  abstract plan(view: FleetView, now: number): readonly PlannedOrder[];

  /** Records the end of an order. */
  abstract ended(order: PlannedOrder, outcome: OrderOutcome, now: number): void;

  /**
   * Records that the weight store refused a ticket for the order, which was
   * therefore not sent.
   */
  abstract weightsRefused(
    order: PlannedOrder,
    retryAfterMilliseconds: number,
    now: number,
  ): void;
}

/** Baseline policy: never changes the engines. */
export class NeverOrder extends OrderPlanner {
  override plan(): readonly PlannedOrder[] {
    return [];
  }

  override ended(): void {
    // There are no orders.
  }

  override weightsRefused(): void {
    // There are no orders.
  }
}

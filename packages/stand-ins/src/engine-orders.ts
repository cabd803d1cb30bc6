import type {EngineOrder} from '@wisteriadeal/platform';

/** Orders that an engine accepted, with or without checking fencing numbers. */
export class EngineOrders {
  private highestFencingNumber = 0;
  private readonly accepted: EngineOrder[] = [];

  constructor(private readonly checksFencingNumbers: boolean) {}

  /**
   * Accepts an order.
   *
   * @returns False if fencing numbers are checked and the order's number is lower than
   *     one accepted before.
   */
  accept(order: EngineOrder): boolean {
    if (
      this.checksFencingNumbers &&
      order.fencingNumber < this.highestFencingNumber
    ) {
      return false;
    }
    this.highestFencingNumber = Math.max(
      this.highestFencingNumber,
      order.fencingNumber,
    );
    this.accepted.push(order);
    return true;
  }

  /** All accepted orders, oldest first. */
  get history(): readonly EngineOrder[] {
    return [...this.accepted];
  }
}

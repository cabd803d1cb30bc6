import type {EngineOrder} from '@wisteriadeal/platform';

/** Orders that an engine took, with or without a look at fencing numbers. */
export class EngineOrders {
  private highest = 0;
  private readonly taken: EngineOrder[] = [];

  constructor(private readonly checksFencingNumbers: boolean) {}

  /** Takes an order; false where its fencing number is old and is looked at. */
  take(order: EngineOrder): boolean {
    if (this.checksFencingNumbers && order.fencingNumber < this.highest) {
      return false;
    }
    this.highest = Math.max(this.highest, order.fencingNumber);
    this.taken.push(order);
    return true;
  }

  /** Every order taken, in order. */
  get history(): readonly EngineOrder[] {
    return [...this.taken];
  }
}

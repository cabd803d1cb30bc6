import type {Reservation} from '@wisteriadeal/budgets';

import type {
  BudgetHolder,
  DeliveryLimit,
  TakenReservation,
} from './budget-holder.js';

/** The tokens of one request, from its beginning to its bill. */
export class RequestBudget {
  /** How long its answer was ready and waited for tokens, milliseconds. */
  waitedMilliseconds = 0;

  constructor(
    private readonly holder: BudgetHolder,
    private reservation: Reservation,
  ) {}

  /**
   * Must have succeeded before any part of an answer is passed on.
   *
   * @returns Why it may not be; undefined where it may.
   */
  async take(
    limit: DeliveryLimit,
    now: () => number,
  ): Promise<TakenReservation['refusal']> {
    const startedAt = now();
    const taken = await this.holder.take(this.reservation, limit);
    this.reservation = taken.reservation;
    this.waitedMilliseconds += now() - startedAt;
    return taken.refusal;
  }

  /** Ends it with what the request used; once. */
  settle(used: number): void {
    this.holder.settle(this.reservation, used);
  }
}

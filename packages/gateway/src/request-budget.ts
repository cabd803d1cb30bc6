import type {Reservation} from '@wisteriadeal/budgets';

import type {
  DeliveryLimit,
  TakenReservation,
  TokenReservations,
} from './token-reservations.js';

/** The tokens of one request, from its beginning to its bill. */
export class RequestBudget {
  /** How long its answer was ready and waited for tokens, milliseconds. */
  waitedMilliseconds = 0;

  constructor(
    private readonly reservations: TokenReservations,
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
    const taken = await this.reservations.take(this.reservation, limit);
    this.reservation = taken.reservation;
    this.waitedMilliseconds += now() - startedAt;
    return taken.refusal;
  }

  /** Ends it with what the request used; once. */
  settle(used: number): void {
    this.reservations.settle(this.reservation, used);
  }
}

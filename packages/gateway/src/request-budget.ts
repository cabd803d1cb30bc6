import {ChargePoint, type Reservation} from '@wisteriadeal/budgets';

import type {
  DeliveryLimit,
  ReservePromisedResult,
  TokenReservations,
} from './token-reservations.js';

/** The token reservation of one request, from its start to settlement. */
export class RequestBudget {
  /** How long the available answer waited for tokens, milliseconds. */
  waitedMilliseconds = 0;

  constructor(
    private readonly reservations: TokenReservations,
    private reservation: Reservation,
  ) {}

  /** Whether the tokens are still to be acquired, which may take time. */
  get isPromised(): boolean {
    return this.reservation.chargePoint === ChargePoint.Delivery;
  }

  /**
   * Acquires the reserved tokens; no part of an answer may be delivered before
   * this has succeeded.
   *
   * @returns The reason for a refusal; undefined if the tokens were acquired.
   */
  async acquireTokens(
    limit: DeliveryLimit,
    now: () => number,
  ): Promise<ReservePromisedResult['refusal']> {
    const startedAt = now();
    const result = await this.reservations.reservePromised(
      this.reservation,
      limit,
    );
    this.reservation = result.reservation;
    this.waitedMilliseconds += now() - startedAt;
    return result.refusal;
  }

  /**
   * Settles the reservation with the tokens used; must be called exactly once.
   */
  settle(used: number): void {
    this.reservations.settle(this.reservation, used);
  }
}

import {
  ChargePoint,
  chooseChargePoint,
  type Reservation,
} from '@wisteriadeal/budgets';
import {NetworkTimeout} from '@wisteriadeal/platform';

import type {BudgetRegistry} from './budget-registry.js';
import type {GrantBorrower} from './grant-borrower.js';
import type {LoanObserver} from './loan-observer.js';
import type {
  OrganisationBudget,
  ReserveResult,
  TokenRequest,
} from './organisation-budget.js';
import {BudgetRefusal} from './token-waiters.js';

/**
 * How long a request waits for a grant. An append and a read take about 10 ms; the
 * shortest latency goal of the users' requests is about 150 ms.
 */
const GRANT_WAIT_MILLISECONDS = 400;
/** Maximum wait for a grant, which leaves the caller time to try another host. */
const MAXIMUM_GRANT_WAIT_MILLISECONDS = 1_500;
/**
 * How much longer a request waits whose tokens are granted beyond a ceiling, without the
 * delay of the call that raises it.
 */
const CEILING_WAIT_MILLISECONDS = 1_100;
/** A grant takes the exchange with the store in progress and one that requests it. */
const EXCHANGES_PER_GRANT = 2;
/** How long a lender waits for the store; its borrower waits 120 ms for the lender. */
const LENDER_FETCH_MILLISECONDS = 70;

/** Limits of the time that a ready answer waits for its tokens. */
export interface DeliveryLimit {
  readonly milliseconds: number;
  readonly signal: AbortSignal;
}

/** Result of reserving promised tokens for a ready answer. */
export interface ReservePromisedResult {
  readonly reservation: Reservation;
  /** Undefined if the answer may be sent to the caller. */
  readonly refusal: BudgetRefusal | undefined;
}

/**
 * Reserves requests' tokens from this process's grants, without a message if the grants
 * cover them.
 */
export class TokenReservations {
  private isClosing = false;

  /** @param wake Starts the next exchange with the store immediately. */
  constructor(
    private readonly registry: BudgetRegistry,
    private readonly borrower: GrantBorrower,
    private readonly wake: () => void,
    private readonly observer: LoanObserver,
  ) {}

  /** Refuses new requests that need tokens, because the grants are being returned. */
  close(): void {
    this.isClosing = true;
  }

  /**
   * Reserves or promises the maximum tokens that a new request can use.
   *
   * @returns The reservation or a refusal. It resolves immediately if the grants or the
   *     log cover the request; else after the store's verdict, a loan or the timeout.
   */
  async reserve(
    organisation: string,
    request: TokenRequest,
  ): Promise<ReserveResult> {
    const {bound, mayPromise} = request;
    const budget = this.registry.get(organisation);
    if (budget === undefined || bound === 0) {
      return {reservation: emptyReservation(organisation)};
    }
    if (this.isClosing) {
      return {refusal: BudgetRefusal.Stopping};
    }
    const view = this.registry.view(organisation);
    const now = this.registry.now();
    const isLogResponsive = this.registry.health.isResponsive(now);
    const point = chooseChargePoint(
      budget.account,
      view,
      bound,
      isLogResponsive,
    );
    if (mayPromise && point === ChargePoint.Delivery) {
      return {reservation: budget.promise(bound)};
    }
    const kept = isLogResponsive ? 0 : budget.account.promised;
    const reservation = budget.tryReserve(bound, kept);
    if (reservation !== undefined) {
      return {reservation};
    }
    if (budget.isExhausted(view, bound)) {
      return {refusal: BudgetRefusal.Exhausted};
    }
    if (this.borrower.isFruitless(budget, bound)) {
      this.observer.refusedWithoutLoan();
      this.wake();
      return {refusal: BudgetRefusal.StoreUnavailable};
    }
    const {remainingMilliseconds = Infinity} = request;
    const milliseconds = this.grantWaitMilliseconds(request);
    const result = budget.reserveWhenAvailable(bound, {
      milliseconds,
      longestMilliseconds: Math.min(
        milliseconds +
          CEILING_WAIT_MILLISECONDS +
          this.registry.health.linkDelayMilliseconds,
        remainingMilliseconds / 2,
      ),
      refusal: () => this.registry.timeoutRefusal(budget, bound),
    });
    return this.awaitTokens(budget, result);
  }

  /**
   * Reserves promised tokens before the first part of an answer is sent to the caller.
   * All delivered tokens are thereby covered by grants to this process on the log.
   *
   * @returns The resulting reservation, and the reason if its tokens are not reserved.
   */
  async reservePromised(
    reservation: Reservation,
    limit: DeliveryLimit,
  ): Promise<ReservePromisedResult> {
    const {organisation, bound} = reservation;
    const budget = this.registry.get(organisation);
    if (
      budget === undefined ||
      reservation.chargePoint === ChargePoint.Dispatch
    ) {
      return {reservation, refusal: undefined};
    }
    const reserved = {...reservation, chargePoint: ChargePoint.Dispatch};
    if (budget.tryReservePromised(bound)) {
      return {reservation: reserved, refusal: undefined};
    }
    const result = budget.reservePromisedWhenAvailable(bound, {
      ...limit,
      refusal: () => this.registry.timeoutRefusal(budget, bound),
    });
    const refusal = await this.awaitTokens(budget, result);
    return {
      reservation: refusal === undefined ? reserved : reservation,
      refusal,
    };
  }

  /**
   * Ends a reservation.
   *
   * @param used Tokens that the request used.
   */
  settle(reservation: Reservation, used: number): void {
    const budget = this.registry.get(reservation.organisation);
    if (budget !== undefined && reservation.bound > 0) {
      budget.settle(reservation, used);
    }
  }

  /** Requests tokens from the store for a loan, without borrowing from other holders. */
  async fetchForLoan(budget: OrganisationBudget, least: number): Promise<void> {
    const fetched = budget.reserveWhenAvailable(least, {
      milliseconds: LENDER_FETCH_MILLISECONDS,
      refusal: () => this.registry.timeoutRefusal(budget, least),
    });
    this.wake();
    const result = await fetched;
    if ('reservation' in result) {
      budget.account.settle(least, 0);
    }
  }

  /**
   * Milliseconds that a request waits for a grant. The wait is longer while this host's
   * link delays the store's answers, within limits and half of the request's time left.
   */
  private grantWaitMilliseconds({
    remainingMilliseconds = Infinity,
  }: TokenRequest): number {
    const delay =
      EXCHANGES_PER_GRANT * this.registry.health.linkDelayMilliseconds;
    const longest = Math.min(
      MAXIMUM_GRANT_WAIT_MILLISECONDS,
      remainingMilliseconds / 2,
    );
    return Math.max(
      GRANT_WAIT_MILLISECONDS,
      Math.min(longest, GRANT_WAIT_MILLISECONDS + delay),
    );
  }

  /** Starts an exchange with the store, and borrows from other holders if it is late. */
  private async awaitTokens<Result>(
    budget: OrganisationBudget,
    result: Promise<Result>,
  ): Promise<Result> {
    this.wake();
    const {health} = this.registry;
    const borrowIfLate = () => {
      const delay = health.millisecondsUntilLate(this.registry.now());
      if (delay > 0) {
        timeout = new NetworkTimeout(delay, borrowIfLate);
      } else {
        void this.borrower.borrow(budget);
      }
    };
    let timeout = new NetworkTimeout(
      health.millisecondsUntilLate(this.registry.now()),
      borrowIfLate,
    );
    try {
      return await result;
    } finally {
      timeout.close();
    }
  }
}

/** Reservation for an organisation without a budget or a request without tokens. */
function emptyReservation(organisation: string): Reservation {
  return {organisation, bound: 0, chargePoint: ChargePoint.Dispatch};
}

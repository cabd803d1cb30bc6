import {
  ChargePoint,
  chargePoint,
  type Reservation,
} from '@wisteriadeal/budgets';
import {NetworkTimeout} from '@wisteriadeal/platform';

import type {BudgetRegistry} from './budget-registry.js';
import type {GrantBorrower} from './grant-borrower.js';
import type {
  OrganisationBudget,
  ReserveResult,
  TokenRequest,
} from './organisation-budget.js';
import {BudgetRefusal} from './token-waiters.js';

/**
 * A request waits so long for a grant. An append and a read take about 10 ms; the
 * shortest goal among the users' requests is some 150 ms.
 */
const GRANT_WAIT_MILLISECONDS = 400;
/** A request is refused by then, while its caller has time to try another host. */
const MAXIMUM_GRANT_WAIT_MILLISECONDS = 1_500;
/** The exchange with the store that is under way, and the one that brings the grant. */
const EXCHANGES_PER_GRANT = 2;
/** A lender waits so long for the store; its borrower waits 120 ms for it. */
const LENDER_FETCH_MILLISECONDS = 70;

/** How long an answer that is ready waits for its tokens. */
export interface DeliveryLimit {
  readonly milliseconds: number;
  readonly signal: AbortSignal;
}

/** What became of a promise when its answer was ready. */
export interface TakenReservation {
  readonly reservation: Reservation;
  /** Undefined where the answer may be passed on. */
  readonly refusal: BudgetRefusal | undefined;
}

/**
 * Takes requests' tokens from this process's grants, without a message where they
 * cover them.
 */
export class TokenReservations {
  private isClosing = false;

  /** @param wake Begins the next exchange with the store at once. */
  constructor(
    private readonly registry: BudgetRegistry,
    private readonly borrower: GrantBorrower,
    private readonly wake: () => void,
  ) {}

  /** Lets no more requests begin that need tokens: they are handed back. */
  close(): void {
    this.isClosing = true;
  }

  /**
   * Lets a request begin: puts the most that it can use aside, or promises it.
   *
   * @returns At once where the grants or the log cover it; else after the store's
   *     verdict or a loan.
   */
  async reserve(
    organisation: string,
    wish: TokenRequest,
  ): Promise<ReserveResult> {
    const {bound, mayPromise} = wish;
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
    const point = chargePoint(budget.account, view, bound, isLogResponsive);
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
    const result = budget.reserveWhenAvailable(bound, {
      milliseconds: this.grantWaitMilliseconds(wish),
      refusal: () => this.registry.timeoutRefusal(budget, bound),
    });
    return this.awaitTokens(budget, result);
  }

  /**
   * Takes what was promised, before the first part of an answer is passed on: all
   * that was delivered stands on the log as granted to this process.
   *
   * @returns The reservation that is left, and why its tokens are not taken.
   */
  async take(
    reservation: Reservation,
    limit: DeliveryLimit,
  ): Promise<TakenReservation> {
    const {organisation, bound} = reservation;
    const budget = this.registry.get(organisation);
    if (
      budget === undefined ||
      reservation.chargePoint === ChargePoint.Dispatch
    ) {
      return {reservation, refusal: undefined};
    }
    const taken = {...reservation, chargePoint: ChargePoint.Dispatch};
    if (budget.tryReservePromised(bound)) {
      return {reservation: taken, refusal: undefined};
    }
    const result = budget.reservePromisedWhenAvailable(bound, {
      ...limit,
      refusal: () => this.registry.timeoutRefusal(budget, bound),
    });
    const refusal = await this.awaitTokens(budget, result);
    return {reservation: refusal === undefined ? taken : reservation, refusal};
  }

  /** Ends a reservation with what the request used. */
  settle(reservation: Reservation, used: number): void {
    const budget = this.registry.get(reservation.organisation);
    if (budget !== undefined && reservation.bound > 0) {
      budget.settle(reservation, used);
    }
  }

  /** Brings tokens from the store for a loan, without asking for one in turn. */
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

  /** Longer while this host's link delays the store's answers, within its time. */
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

  /** Wakes the exchange with the store, and asks other holders where it is late. */
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

/** Of an organisation without a budget, or a request without tokens. */
function emptyReservation(organisation: string): Reservation {
  return {organisation, bound: 0, chargePoint: ChargePoint.Dispatch};
}

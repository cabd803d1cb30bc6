import {clone} from '@bufbuild/protobuf';
import {RateEstimate} from '@wisteriadeal/ledger';
import type {Clock} from '@wisteriadeal/platform';
import {
  RequestReservationSchema,
  type RequestReservation,
} from '@wisteriadeal/schema';

import type {BookReplicator} from './book-replicator.js';
import type {GrantHolding} from './grant-holding.js';
import {Acknowledgement} from './witness-link.js';

/**
 * Half-life of the demand estimate that decides the size of grants. With a
 * shorter one, the estimate of a data centre with a few requests per minute
 * would depend on when they happen to arrive.
 */
export const DEMAND_HALF_LIFE_MILLISECONDS = 600_000;
/**
 * Largest bound before the first request, in tokens: a common bound of chat
 * completions.
 */
const INITIAL_BOUND_TOKENS = 2_048;
/** Factor by which the largest bound decays with each later request. */
const LARGEST_BOUND_DECAY = 0.98;
/** Interval between attempts to make one reservation. */
const RETRY_INTERVAL_MILLISECONDS = 50;

/** The result of a reservation. */
export enum ReserveOutcome {
  Reserved = 'reserved',
  /** No grant that this holder has or could get in time covers the bound. */
  BudgetExhausted = 'budget-exhausted',
  /** Neither a witness nor the log confirmed the reservation. */
  Unavailable = 'unavailable',
}

/** A reservation's outcome; `holding` is set if the outcome is `Reserved`. */
export interface ReserveAnswer {
  readonly outcome: ReserveOutcome;
  readonly holding?: GrantHolding;
  /** Whether a reservation was made and released, as it was not acknowledged. */
  readonly hasReleased: boolean;
}

/**
 * This keeper's grants of one organisation, and the requests that wait for
 * tokens.
 */
export class OrganisationGrants {
  readonly holdings = new Map<string, GrantHolding>();
  /** Tokens of grant requests that the log has not decided yet. */
  requestedTokens = 0;
  private readonly demand = new RateEstimate(DEMAND_HALF_LIFE_MILLISECONDS);
  /** Bounds of the waiting reservations. */
  private readonly waitingBounds = new Map<RequestReservation, number>();
  private largestBound = INITIAL_BOUND_TOKENS;

  constructor(
    readonly organisation: string,
    private readonly replicator: Pick<BookReplicator, 'commit'>,
    private readonly clock: Clock,
    private readonly onTokensNeeded: () => void,
    private readonly loggedRemainingTokens: () => number | undefined,
  ) {}

  /**
   * Remaining tokens of the whole budget, across all holders: the remainder on
   * the log less the bills that were settled here and are not folded yet.
   * Infinity while the log has no credit, as the opening budget is not folded
   * yet.
   */
  private get remainingTokens(): number {
    const unbilled = [...this.holdings.values()]
      .flatMap(({book}) => book.pendingBills)
      .reduce((sum, bill) => sum + bill.tokens, 0);
    return (this.loggedRemainingTokens() ?? Infinity) - unbilled;
  }

  /** Recently settled tokens per second. */
  get demandTokensPerSecond(): number {
    return this.demand.perSecond(this.clock.monotonicMilliseconds());
  }

  /** The largest recent bound of a request, after decay. */
  get largestBoundTokens(): number {
    return Math.ceil(this.largestBound);
  }

  /** The largest bound of the waiting requests; 0 if none waits. */
  get waitingBoundTokens(): number {
    return Math.max(0, ...this.waitingBounds.values());
  }

  /** The largest bound that can be reserved now, from a single grant. */
  get largestSpendableTokens(): number {
    return Math.max(
      0,
      ...[...this.holdings.values()].map(holding => holding.spendableTokens),
    );
  }

  /** Tokens that can be reserved now, from all grants together. */
  get spendableTokens(): number {
    return [...this.holdings.values()].reduce(
      (sum, holding) => sum + holding.spendableTokens,
      0,
    );
  }

  /** Adds the tokens that a request has used to the demand estimate. */
  recordDemand(tokens: number): void {
    this.demand.add(tokens, this.clock.monotonicMilliseconds());
  }

  /**
   * Reserves a request's bound, and waits for tokens up to the timeout.
   *
   * A burst can exhaust the grant before the refill is on the log; without
   * waiting, requests would be refused although budget remains. The wait is
   * limited, since a caller that is refused late has less time to try
   * elsewhere.
   */
  async reserve(
    reservation: RequestReservation,
    timeoutMilliseconds: number,
  ): Promise<ReserveAnswer> {
    const bound = reservation.reservation?.boundTokens ?? 0;
    const deadline = this.clock.monotonicMilliseconds() + timeoutMilliseconds;
    this.largestBound = Math.max(
      bound,
      this.largestBound * LARGEST_BOUND_DECAY,
    );
    let hasReleased = false;
    for (;;) {
      let outcome = ReserveOutcome.Unavailable;
      const holding = this.holdingFor(bound);
      if (holding !== undefined) {
        const acknowledged = await this.tryReserve(holding, reservation);
        if (acknowledged === Acknowledgement.Applied) {
          this.waitingBounds.delete(reservation);
          return {outcome: ReserveOutcome.Reserved, holding, hasReleased};
        }
        hasReleased = true;
      } else {
        outcome = ReserveOutcome.BudgetExhausted;
        this.waitingBounds.set(reservation, bound);
        this.onTokensNeeded();
      }
      // If the whole budget does not cover the bound, no refill, return or peer
      // can help, so the request is refused without waiting for the timeout.
      const cannotBeCovered =
        outcome === ReserveOutcome.BudgetExhausted &&
        this.remainingTokens < bound;
      if (cannotBeCovered || this.clock.monotonicMilliseconds() >= deadline) {
        this.waitingBounds.delete(reservation);
        return {outcome, hasReleased};
      }
      await this.clock.sleep(RETRY_INTERVAL_MILLISECONDS);
    }
  }

  /**
   * Returns the smallest holding that covers the bound, to keep larger ones for
   * larger bounds.
   */
  private holdingFor(bound: number): GrantHolding | undefined {
    return [...this.holdings.values()]
      .filter(
        holding =>
          !holding.isClosed &&
          !holding.isFenced &&
          !holding.book.isClosing &&
          holding.spendableTokens >= bound,
      )
      .sort((one, other) => one.spendableTokens - other.spendableTokens)[0];
  }

  private async tryReserve(
    holding: GrantHolding,
    reservation: RequestReservation,
  ): Promise<Acknowledgement> {
    const ownReservation = clone(RequestReservationSchema, reservation);
    const change = holding.book.reserve(ownReservation);
    if (change === undefined) {
      return Acknowledgement.Unconfirmed;
    }
    const acknowledged = await this.replicator.commit(holding, change);
    if (acknowledged !== Acknowledgement.Applied) {
      // The request was not dispatched. If this message is lost, the witness
      // gets the release with the next full book.
      const released = holding.book.release(
        ownReservation.reservation?.requestId ?? '',
      );
      if (released !== undefined) {
        void this.replicator.commit(holding, released);
      }
    }
    return acknowledged;
  }
}

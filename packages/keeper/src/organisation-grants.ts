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
 * Demand of the last minutes decides how large grants are; shorter, and a data
 * centre with a few requests a minute is judged by their chance.
 */
export const DEMAND_HALF_LIFE_MILLISECONDS = 600_000;
/** Before any request was seen: a common bound of chat completions. */
const FIRST_BOUND_TOKENS = 2_048;
/** The largest bound seen counts until this share of smaller ones came since. */
const BOUND_DECAY = 0.98;
/** Between two tries of one reservation. */
const RETRY_MILLISECONDS = 50;

/** How a reservation ended. */
export enum ReserveOutcome {
  Reserved = 'reserved',
  /** What the holder can reach does not cover the bound. */
  Budget = 'budget',
  /** Neither a witness nor the log took note of it. */
  Unavailable = 'unavailable',
}

/** A reservation's outcome; `holding` is set where it was reserved. */
export interface ReserveAnswer {
  readonly outcome: ReserveOutcome;
  readonly holding?: GrantHolding;
}

/** The grants that this keeper holds of one organisation, and who waits. */
export class OrganisationGrants {
  readonly holdings = new Map<string, GrantHolding>();
  /** Tokens asked for on the log and not yet decided. */
  requestedTokens = 0;
  private readonly demand = new RateEstimate(DEMAND_HALF_LIFE_MILLISECONDS);
  private readonly waitingBounds = new Map<string, number>();
  private largestBound = FIRST_BOUND_TOKENS;

  constructor(
    readonly organisation: string,
    private readonly replicator: Pick<BookReplicator, 'commit'>,
    private readonly clock: Clock,
    private readonly wanted: () => void,
    private readonly remainingOnLog: () => number | undefined,
  ) {}

  /**
   * What is left of the whole budget, wherever it stands: by the log, less what
   * is settled here and not billed there yet. Infinity before the log credited
   * anything: the opening budget is then still on its way.
   */
  private get remainingTokens(): number {
    const unbilled = [...this.holdings.values()]
      .flatMap(({book}) => book.unfoldedBills)
      .reduce((sum, bill) => sum + bill.tokens, 0);
    return (this.remainingOnLog() ?? Infinity) - unbilled;
  }

  /** Tokens settled a second lately. */
  get demandTokensPerSecond(): number {
    return this.demand.perSecond(this.clock.monotonicMilliseconds());
  }

  /** The largest bound lately. */
  get largestBoundTokens(): number {
    return Math.ceil(this.largestBound);
  }

  /** The largest bound that waits now; 0 where nothing waits. */
  get waitingBoundTokens(): number {
    return Math.max(0, ...this.waitingBounds.values());
  }

  /** What can be reserved in one piece. */
  get largestSpendableTokens(): number {
    return Math.max(
      0,
      ...[...this.holdings.values()].map(holding => holding.spendableTokens),
    );
  }

  /** What can be reserved in all. */
  get spendableTokens(): number {
    return [...this.holdings.values()].reduce(
      (sum, holding) => sum + holding.spendableTokens,
      0,
    );
  }

  /** Notes what a request really used. */
  noteDemand(tokens: number): void {
    this.demand.add(tokens, this.clock.monotonicMilliseconds());
  }

  /**
   * Reserves a request's bound, waiting for tokens up to the limit.
   *
   * Load: a burst that empties the grant before the refill stands on the log.
   * Harm: refusing though budget remains. Waiting is limited, since a caller
   * that is refused late has lost the time to try elsewhere.
   */
  async reserve(
    reservation: RequestReservation,
    limitMilliseconds: number,
  ): Promise<ReserveAnswer> {
    const requestId = reservation.reservation?.requestId ?? '';
    const bound = reservation.reservation?.boundTokens ?? 0;
    const deadline = this.clock.monotonicMilliseconds() + limitMilliseconds;
    this.largestBound = Math.max(bound, this.largestBound * BOUND_DECAY);
    for (;;) {
      let outcome = ReserveOutcome.Unavailable;
      const holding = this.holdingFor(bound);
      if (holding !== undefined) {
        const acknowledged = await this.tryReserve(holding, reservation);
        if (acknowledged === Acknowledgement.Applied) {
          this.waitingBounds.delete(requestId);
          return {outcome: ReserveOutcome.Reserved, holding};
        }
      } else {
        outcome = ReserveOutcome.Budget;
        this.waitingBounds.set(requestId, bound);
        this.wanted();
      }
      // The whole budget does not cover it: no refill, return or peer can help,
      // and a refusal that is certain must not be held back.
      const hopeless =
        outcome === ReserveOutcome.Budget && this.remainingTokens < bound;
      if (hopeless || this.clock.monotonicMilliseconds() >= deadline) {
        this.waitingBounds.delete(requestId);
        return {outcome};
      }
      await this.clock.sleep(RETRY_MILLISECONDS);
    }
  }

  /** The smallest holding that covers the bound, so that large ones stay whole. */
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
    const copy = clone(RequestReservationSchema, reservation);
    const change = holding.book.reserve(copy);
    if (change === undefined) {
      return Acknowledgement.Lost;
    }
    const acknowledged = await this.replicator.commit(holding, change);
    if (acknowledged !== Acknowledgement.Applied) {
      // Nothing was dispatched on it; the witness learns of the release with the
      // next change or the next whole book.
      const released = holding.book.release(copy.reservation?.requestId ?? '');
      if (released !== undefined) {
        void this.replicator.commit(holding, released);
      }
    }
    return acknowledged;
  }
}

import {clone, create} from '@bufbuild/protobuf';
import {
  OpenReservationSchema,
  ReclaimSchema,
  RequestReservationSchema,
  type Bill,
  type BookChange,
  type GrantBook,
  type Reclaim,
  type RequestReservation,
  type Transfer,
} from '@wisteriadeal/schema';

/** What a witness did with a change. */
export enum BookChangeResult {
  /** It stands in the book and may be acknowledged. */
  Applied = 'applied',
  /** The grant is fenced: nothing of it is acknowledged. */
  Fenced = 'fenced',
  /** There is no book of the grant here. Says nothing about the grant itself. */
  Unknown = 'unknown',
}

interface WitnessedGrant {
  readonly organisation: string;
  readonly holder: string;
  readonly open: Map<string, RequestReservation>;
  readonly settled: Map<string, Bill>;
  readonly transfers: Map<string, Transfer>;
}

/** One grant as its witness knows it. */
export interface WitnessedGrantView {
  readonly grantId: string;
  readonly organisation: string;
  readonly holder: string;
  readonly fenced: boolean;
  readonly open: readonly RequestReservation[];
}

/**
 * What a keeper knows as the witness of other keepers' grants.
 *
 * The failure it meets: a holder is taken for dead, its grant is given to
 * others, and it wakes and spends. Once fenced, no change of the grant is
 * acknowledged any more, unless the log refuses to take the grant back, and a holder
 * dispatches nothing without the acknowledgement; so what this book lists when it is
 * fenced is everything that can ever be spent under the grant, whether or not
 * endpoints check fencing numbers.
 */
export class WitnessBook {
  private readonly grants = new Map<string, WitnessedGrant>();
  private readonly fenced = new Set<string>();

  /**
   * Applies a change of the holder.
   *
   * @returns `Applied` alone may be acknowledged.
   * @example
   * ```ts
   * const isAcknowledged = book.apply(change) === BookChangeResult.Applied;
   * ```
   */
  apply(change: BookChange): BookChangeResult {
    if (this.fenced.has(change.grantId)) {
      return BookChangeResult.Fenced;
    }
    if (change.kind.case === 'opened') {
      this.grants.set(change.grantId, fromGrantBook(change.kind.value));
      return BookChangeResult.Applied;
    }
    const grant = this.grants.get(change.grantId);
    if (grant === undefined) {
      return BookChangeResult.Unknown;
    }
    applyChange(grant, change);
    return BookChangeResult.Applied;
  }

  /**
   * Stops acknowledging for a grant until the log has refused its reclaim; also for
   * one not known yet.
   */
  fence(grantId: string): void {
    this.fenced.add(grantId);
  }

  /**
   * The log refused the reclaim, as another witness is in force: nothing was taken
   * back. The book stays: it lacks only changes that were not acknowledged, and the
   * holder may have named this witness again meanwhile.
   */
  liftFence(grantId: string): void {
    this.fenced.delete(grantId);
  }

  /** Whether the grant is fenced. */
  isFenced(grantId: string): boolean {
    return this.fenced.has(grantId);
  }

  /**
   * The record that takes a fenced grant back. A grant that this witness never
   * got the book of has nothing open: nothing was ever acknowledged for it.
   *
   * @returns undefined where the grant is not fenced.
   */
  reclaim(grantId: string, witness: string): Reclaim | undefined {
    if (!this.fenced.has(grantId)) {
      return undefined;
    }
    const grant = this.grants.get(grantId);
    return create(ReclaimSchema, {
      grantId,
      witness,
      openReservations: [...(grant?.open.values() ?? [])].map(open =>
        create(OpenReservationSchema, open.reservation),
      ),
      settled: [...(grant?.settled.values() ?? [])],
      transfers: [...(grant?.transfers.values() ?? [])],
    });
  }

  /**
   * Forgets what a holder reserved for begins whose answers never reached their
   * router. Not under a fenced grant: its reclaim has been made already.
   *
   * @param beginNumbers Of begins of this router incarnation.
   */
  releaseLostBegins(
    requestId: string,
    router: string,
    beginNumbers: readonly number[],
  ): void {
    for (const [grantId, {open}] of this.grants) {
      const reservation = open.get(requestId);
      if (
        reservation?.router === router &&
        beginNumbers.includes(reservation.beginNumber) &&
        !this.fenced.has(grantId)
      ) {
        open.delete(requestId);
      }
    }
  }

  /** The reservations of a grant, with router and fingerprint. */
  openReservations(grantId: string): readonly RequestReservation[] {
    return [...(this.grants.get(grantId)?.open.values() ?? [])];
  }

  /** The settled bills of a grant that the fold has not shown yet. */
  settledBills(grantId: string): readonly Bill[] {
    return [...(this.grants.get(grantId)?.settled.values() ?? [])];
  }

  /** The fold showed a bill; it needs no more memory here. */
  billFolded(grantId: string, requestId: string): void {
    this.grants.get(grantId)?.settled.delete(requestId);
  }

  /** The fold showed a transfer. */
  transferFolded(grantId: string, transferId: string): void {
    this.grants.get(grantId)?.transfers.delete(transferId);
  }

  /**
   * The grant is closed. One that only has another witness is kept: a holder that is
   * some records behind still sends its changes here, and one that names this witness
   * again has sent the whole book before the log shows that it named another.
   */
  forget(grantId: string): void {
    this.grants.delete(grantId);
  }

  /** Everything witnessed, for explanations and dumps. */
  view(): readonly WitnessedGrantView[] {
    return [...this.grants].map(([grantId, grant]) => ({
      grantId,
      organisation: grant.organisation,
      holder: grant.holder,
      fenced: this.fenced.has(grantId),
      open: [...grant.open.values()],
    }));
  }
}

function fromGrantBook(book: GrantBook): WitnessedGrant {
  return {
    organisation: book.organisation,
    holder: book.holder,
    open: new Map(
      book.open.map(open => [
        open.reservation?.requestId ?? '',
        clone(RequestReservationSchema, open),
      ]),
    ),
    settled: new Map(book.settled.map(bill => [bill.requestId, bill])),
    transfers: new Map(
      book.transfers.map(transfer => [transfer.transferId, transfer]),
    ),
  };
}

function applyChange(grant: WitnessedGrant, change: BookChange): void {
  switch (change.kind.case) {
    case 'reserved': {
      const reservation = clone(RequestReservationSchema, change.kind.value);
      grant.open.set(reservation.reservation?.requestId ?? '', reservation);
      return;
    }
    case 'dispatching': {
      const open = grant.open.get(change.requestId)?.reservation;
      if (open !== undefined) {
        open.attemptId = change.kind.value.attemptId;
        open.endpoint = change.kind.value.endpoint;
      }
      return;
    }
    case 'settled':
      grant.open.delete(change.kind.value.requestId);
      grant.settled.set(change.kind.value.requestId, change.kind.value);
      return;
    case 'released':
      grant.open.delete(change.kind.value.requestId);
      return;
    case 'transferred':
      grant.transfers.set(change.kind.value.transferId, change.kind.value);
      return;
    default:
      // A return needs no account: see the fold's reclaim.
      return;
  }
}

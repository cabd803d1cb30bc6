import {clone, create} from '@bufbuild/protobuf';
import {
  OpenReservationSchema,
  ReclaimSchema,
  RequestReservationSchema,
  type Bill,
  type BookChange,
  type GrantBook,
  type OpenReservation,
  type Reclaim,
  type RequestReservation,
  type Transfer,
  type WitnessNomination,
} from '@wisteriadeal/schema';

/** The result of applying a change to a witness book. */
export enum BookChangeResult {
  /** The change was applied and may be acknowledged. */
  Applied = 'applied',
  /** The grant is fenced: no change of it is acknowledged. */
  Fenced = 'fenced',
  /**
   * This witness has no book of the grant; the grant itself may still exist.
   */
  Unknown = 'unknown',
  /**
   * The change came on an older stream than the grant's book, which may contain
   * what this change lacks.
   */
  Superseded = 'superseded',
}

interface WitnessedGrant {
  readonly organisation: string;
  readonly holder: string;
  /** Number of the holder's stream that sent the book. */
  readonly streamNumber: number;
  nomination: WitnessNomination | undefined;
  readonly open: Map<string, RequestReservation>;
  readonly settled: Map<string, Bill>;
  readonly transfers: Map<string, Transfer>;
}

/** A read-only view of a witnessed grant. */
export interface WitnessedGrantView {
  readonly grantId: string;
  readonly organisation: string;
  readonly holder: string;
  readonly fenced: boolean;
  readonly open: readonly RequestReservation[];
}

/**
 * The replicas of other keepers' grants for which a keeper is the witness.
 *
 * The book guards against a holder that is declared dead, has its grant
 * reclaimed and given to others, and then resumes and spends its tokens. A
 * holder dispatches nothing without an acknowledgement, and no change of a
 * fenced grant is acknowledged unless the log refuses the reclaim. The contents
 * of the book at the time of the fence are therefore all that can be spent
 * under the grant, whether or not endpoints check fencing numbers.
 */
export class WitnessBook {
  private readonly grants = new Map<string, WitnessedGrant>();
  private readonly fencedGrants = new Set<string>();

  /**
   * Applies a change sent by the holder.
   *
   * @param streamNumber Number of the holder's stream on which the change came.
   *     A holder that reconnects sends the book on a new stream, and messages
   *     of the old one can still arrive.
   * @returns The result. The change may be acknowledged only if it is
   *     `Applied`.
   * @example
   * ```ts
   * const isAcknowledged = book.apply(change) === BookChangeResult.Applied;
   * ```
   */
  apply(change: BookChange, streamNumber = 0): BookChangeResult {
    if (this.fencedGrants.has(change.grantId)) {
      return BookChangeResult.Fenced;
    }
    const grant = this.grants.get(change.grantId);
    if (grant !== undefined && streamNumber < grant.streamNumber) {
      return BookChangeResult.Superseded;
    }
    if (change.kind.case === 'opened') {
      this.grants.set(
        change.grantId,
        createWitnessedGrant(
          change.kind.value,
          streamNumber,
          grant?.nomination,
        ),
      );
      return BookChangeResult.Applied;
    }
    if (grant === undefined) {
      return BookChangeResult.Unknown;
    }
    applyChange(grant, change);
    return BookChangeResult.Applied;
  }

  /**
   * Stops acknowledging changes of a grant until the log refuses its reclaim.
   * The grant may be one that this book does not contain yet.
   */
  fence(grantId: string): void {
    this.fencedGrants.add(grantId);
  }

  /**
   * Resumes acknowledging changes after the log refused the reclaim because the
   * grant has another witness, so no tokens were reclaimed. The book of the
   * grant is kept: it lacks only unacknowledged changes, and the holder may
   * have chosen this witness again in the meantime.
   */
  unfence(grantId: string): void {
    this.fencedGrants.delete(grantId);
  }

  /** Whether the grant is fenced. */
  isFenced(grantId: string): boolean {
    return this.fencedGrants.has(grantId);
  }

  /**
   * Returns the record that reclaims a fenced grant. If this witness never
   * received the book of the grant, it has acknowledged nothing, so the record
   * lists nothing.
   *
   * @returns undefined if the grant is not fenced.
   */
  reclaim(grantId: string, witness: string): Reclaim | undefined {
    if (!this.fencedGrants.has(grantId)) {
      return undefined;
    }
    const grant = this.grants.get(grantId);
    return create(ReclaimSchema, {
      grantId,
      witness,
      openReservations: [...(grant?.open.values() ?? [])].map(
        toOpenReservation,
      ),
      settled: [...(grant?.settled.values() ?? [])],
      transfers: [...(grant?.transfers.values() ?? [])],
    });
  }

  /**
   * Releases the reservations made for begins whose answers did not reach the
   * router. Reservations of fenced grants stay, since the reclaim has been
   * created already.
   *
   * @param isAbandoned Whether a begin of this router incarnation is abandoned,
   *     by its number.
   */
  releaseLostBegins(
    requestId: string,
    router: string,
    isAbandoned: (beginNumber: number) => boolean,
  ): void {
    for (const [grantId, {open}] of this.grants) {
      const reservation = open.get(requestId);
      if (
        reservation?.router === router &&
        isAbandoned(reservation.beginNumber) &&
        !this.fencedGrants.has(grantId)
      ) {
        open.delete(requestId);
      }
    }
  }

  /** The open reservations of a grant, with router and fingerprint. */
  openReservations(grantId: string): readonly RequestReservation[] {
    return [...(this.grants.get(grantId)?.open.values() ?? [])];
  }

  /**
   * The change of witness by which the holder nominated this keeper; undefined
   * if there is none.
   */
  nomination(grantId: string): WitnessNomination | undefined {
    return this.grants.get(grantId)?.nomination;
  }

  /** Removes a nomination whose entry the log has decided. */
  removeNomination(grantId: string, entryId: string): void {
    const grant = this.grants.get(grantId);
    if (grant?.nomination?.entryId === entryId) {
      grant.nomination = undefined;
    }
  }

  /** The bills of a grant that have not been folded from the log yet. */
  settledBills(grantId: string): readonly Bill[] {
    return [...(this.grants.get(grantId)?.settled.values() ?? [])];
  }

  /** Removes a bill that has been folded from the log. */
  removeFoldedBill(grantId: string, requestId: string): void {
    this.grants.get(grantId)?.settled.delete(requestId);
  }

  /** Removes a transfer that has been folded from the log. */
  removeFoldedTransfer(grantId: string, transferId: string): void {
    this.grants.get(grantId)?.transfers.delete(transferId);
  }

  /**
   * Removes a closed grant. A grant that only changed its witness must be kept:
   * a holder that lags behind the log still sends its changes here, and a
   * holder that chooses this witness again may send the whole book before this
   * keeper folds the change to another witness.
   */
  removeGrant(grantId: string): void {
    this.grants.delete(grantId);
  }

  /** Returns all witnessed grants, for explanations and state dumps. */
  listGrants(): readonly WitnessedGrantView[] {
    return [...this.grants].map(([grantId, grant]) => ({
      grantId,
      organisation: grant.organisation,
      holder: grant.holder,
      fenced: this.fencedGrants.has(grantId),
      open: [...grant.open.values()],
    }));
  }
}

/** Returns the form of a reservation in which the log lists it. */
function toOpenReservation(open: RequestReservation): OpenReservation {
  const reservation =
    open.reservation === undefined
      ? create(OpenReservationSchema)
      : clone(OpenReservationSchema, open.reservation);
  reservation.router = open.router;
  reservation.fingerprint = open.fingerprint;
  reservation.idempotent = open.idempotent;
  reservation.beginNumber = open.beginNumber;
  return reservation;
}

function createWitnessedGrant(
  book: GrantBook,
  streamNumber: number,
  earlierNomination: WitnessNomination | undefined,
): WitnessedGrant {
  return {
    organisation: book.organisation,
    holder: book.holder,
    streamNumber,
    nomination: book.nomination ?? earlierNomination,
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
    case 'nominated':
      grant.nomination = change.kind.value;
      return;
    default:
      // Returns are not recorded: a folded return has reduced the grant, and a
      // later one is refused after a reclaim.
      return;
  }
}

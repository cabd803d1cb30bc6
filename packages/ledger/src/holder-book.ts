import {clone, create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  BillSchema,
  BookChangeSchema,
  GrantBookSchema,
  ReturnSchema,
  TransferSchema,
  type AttemptReference,
  type Bill,
  type BookChange,
  type RequestReservation,
  type Transfer,
  type WitnessNomination,
} from '@wisteriadeal/schema';

import {isTokenAmount} from './tokens.js';

/**
 * The grant of a new book: accepted by the fold, or transferred from another
 * holder.
 */
export interface GrantTerms {
  readonly grantId: string;
  readonly organisation: string;
  readonly tokens: number;
  readonly holder: string;
  readonly dataCenter: string;
}

/**
 * The holder's account of one grant.
 *
 * Each method that modifies the account returns the change to replicate to the
 * witness, or undefined if the change is not possible. Tokens are debited
 * before the change is sent, so a lost message can strand tokens but never
 * create them.
 *
 * @example
 * ```ts
 * const change = book.reserve(reservation);
 * if (change !== undefined) await witness.replicate(change);
 * ```
 */
export class HolderBook {
  private readonly openByRequestId = new Map<string, RequestReservation>();
  private readonly pendingBillsByRequestId = new Map<string, Bill>();
  /** Pending bills that may have been folded from a skipped record. */
  private readonly possiblyFoldedBills = new Set<string>();
  private readonly pendingTransfersById = new Map<string, Transfer>();
  private reservedTokens = 0;
  private settledTokens = 0;
  private transferredTokens = 0;
  private returnedTokens = 0;
  private closing = false;

  constructor(readonly grant: GrantTerms) {}

  /** Tokens that can be reserved or transferred; 0 once the book is closing. */
  get spendableTokens(): number {
    return this.closing ? 0 : this.freeTokens;
  }

  /** Tokens reserved for requests that are neither settled nor released. */
  get openTokens(): number {
    return this.reservedTokens;
  }

  /** Reservations that are neither settled nor released. */
  get openReservations(): readonly RequestReservation[] {
    return [...this.openByRequestId.values()];
  }

  /** Bills that have not been folded from the log yet. */
  get pendingBills(): readonly Bill[] {
    return [...this.pendingBillsByRequestId.values()];
  }

  /** Transfers that have not been folded from the log yet. */
  get pendingTransfers(): readonly Transfer[] {
    return [...this.pendingTransfersById.values()];
  }

  /** Whether the book refuses new reservations and transfers. */
  get isClosing(): boolean {
    return this.closing;
  }

  /**
   * Whether no reservation is open and all bills and transfers have been folded
   * from the log.
   */
  get isSettled(): boolean {
    return (
      this.openByRequestId.size === 0 &&
      this.pendingBillsByRequestId.size === 0 &&
      this.pendingTransfersById.size === 0
    );
  }

  /**
   * Refuses reservations and transfers from now on. Open reservations can still
   * be settled or released, and free tokens returned.
   */
  stopReserving(): void {
    this.closing = true;
  }

  /**
   * Reserves the bound of a request.
   *
   * @returns undefined if the bound is not a token amount or exceeds the
   *     spendable tokens, or if the request already has a reservation.
   */
  reserve(reservation: RequestReservation): BookChange | undefined {
    const open = reservation.reservation;
    if (
      open === undefined ||
      !isTokenAmount(open.boundTokens) ||
      open.boundTokens > this.spendableTokens ||
      this.openByRequestId.has(open.requestId)
    ) {
      return undefined;
    }
    this.openByRequestId.set(open.requestId, reservation);
    this.reservedTokens += open.boundTokens;
    return this.createChange({case: 'reserved', value: reservation});
  }

  /** Records that another router has taken over a request. */
  reassignRouter(requestId: string, router: string): BookChange | undefined {
    const open = this.openByRequestId.get(requestId);
    if (open === undefined) {
      return undefined;
    }
    open.router = router;
    open.beginNumber = 0;
    return this.createChange({case: 'reserved', value: open});
  }

  /** Records the attempt and endpoint to which a request is dispatched. */
  recordDispatch(
    requestId: string,
    attempt: AttemptReference,
  ): BookChange | undefined {
    const open = this.openByRequestId.get(requestId)?.reservation;
    if (open === undefined) {
      return undefined;
    }
    open.attemptId = attempt.attemptId;
    open.endpoint = attempt.endpoint;
    return this.createChange({case: 'dispatching', value: attempt}, requestId);
  }

  /**
   * Replaces the reservation of a request by a bill. The charge is limited to
   * the bound: the engine was given that maximum, and the budget covers no
   * more. An invalid amount is charged as the bound.
   */
  settle(bill: Bill): BookChange | undefined {
    const bound = this.removeReservation(bill.requestId);
    if (bound === undefined) {
      return undefined;
    }
    const tokens = isTokenAmount(bill.tokens)
      ? Math.min(bill.tokens, bound)
      : bound;
    return this.addPendingBill(bill, tokens);
  }

  /**
   * Charges a bill whose reservation does not exist any more, or was made under
   * another grant.
   *
   * @returns undefined if the amount is invalid or above the free tokens, or if
   *     the request has a bill in this book.
   */
  charge(bill: Bill): BookChange | undefined {
    return isTokenAmount(bill.tokens) &&
      bill.tokens <= this.freeTokens &&
      !this.pendingBillsByRequestId.has(bill.requestId)
      ? this.addPendingBill(bill, bill.tokens)
      : undefined;
  }

  /** Whether the book has a bill that has not been folded from the log yet. */
  hasPendingBill(requestId: string): boolean {
    return this.pendingBillsByRequestId.has(requestId);
  }

  /** Releases the reservation of a request that was not dispatched. */
  release(requestId: string): BookChange | undefined {
    return this.removeReservation(requestId) === undefined
      ? undefined
      : this.createChange({case: 'released', value: {requestId}});
  }

  /**
   * Debits a transfer to another holder.
   *
   * @returns undefined if the amount is 0, invalid or above the spendable
   *     tokens, or if the transfer was debited before.
   */
  transferOut(transfer: Transfer): BookChange | undefined {
    if (
      !isTokenAmount(transfer.tokens) ||
      transfer.tokens === 0 ||
      transfer.tokens > this.spendableTokens ||
      this.pendingTransfersById.has(transfer.transferId)
    ) {
      return undefined;
    }
    const outgoing = clone(TransferSchema, transfer);
    outgoing.fromGrant = this.grant.grantId;
    this.pendingTransfersById.set(outgoing.transferId, outgoing);
    this.transferredTokens += outgoing.tokens;
    return this.createChange({case: 'transferred', value: outgoing});
  }

  /**
   * Debits tokens that are returned to the unallocated budget.
   *
   * @returns undefined if the amount is invalid or above the free tokens.
   */
  returnTokens(tokens: number): BookChange | undefined {
    if (!isTokenAmount(tokens) || tokens > this.freeTokens) {
      return undefined;
    }
    this.returnedTokens += tokens;
    return this.createChange({
      case: 'returned',
      value: create(ReturnSchema, {grantId: this.grant.grantId, tokens}),
    });
  }

  /** Makes the tokens of a return that was not submitted free again. */
  cancelReturn(tokens: number): void {
    this.returnedTokens -= tokens;
  }

  /**
   * Tokens of the grant that are neither reserved, billed, transferred nor
   * returned. A return that closes the grant returns this amount.
   */
  get freeTokens(): number {
    return (
      this.grant.tokens -
      this.reservedTokens -
      this.settledTokens -
      this.transferredTokens -
      this.returnedTokens
    );
  }

  /**
   * Applies a bill that the fold has accepted under this grant. Another process
   * may have written it, with another amount or after the reservation was
   * released; the book follows the log.
   */
  applyFoldedBill({requestId, tokens}: Bill): void {
    const pending = this.pendingBillsByRequestId.get(requestId);
    this.removeFoldedBill(requestId);
    this.removeReservation(requestId);
    this.settledTokens += tokens - (pending?.tokens ?? 0);
  }

  /** Removes a bill that has been folded from the log. */
  removeFoldedBill(requestId: string): void {
    this.pendingBillsByRequestId.delete(requestId);
    this.possiblyFoldedBills.delete(requestId);
  }

  /**
   * Removes a bill that the fold ignored as a duplicate of an earlier bill of
   * the request, and makes its tokens free again. They stay charged if the
   * earlier bill may be a copy of this one in a skipped record.
   */
  refundDuplicateBill(requestId: string): void {
    const bill = this.pendingBillsByRequestId.get(requestId);
    if (bill === undefined) {
      return;
    }
    this.pendingBillsByRequestId.delete(requestId);
    if (!this.possiblyFoldedBills.delete(requestId)) {
      this.settledTokens -= bill.tokens;
    }
  }

  /** Notes that records were skipped, which may contain the pending bills. */
  recordSkippedRecords(): void {
    for (const requestId of this.pendingBillsByRequestId.keys()) {
      this.possiblyFoldedBills.add(requestId);
    }
  }

  /** Returns a change that tells a witness that it is nominated. */
  createNominatedChange(nomination: WitnessNomination): BookChange {
    return this.createChange({case: 'nominated', value: nomination});
  }

  /** Removes a transfer that has been folded from the log. */
  removeFoldedTransfer(transferId: string): void {
    this.pendingTransfersById.delete(transferId);
  }

  /**
   * Returns a change with the whole book, for a witness that has no copy of it.
   *
   * @param nomination The nomination of that witness, if there is one.
   */
  createOpenedChange(nomination?: WitnessNomination): BookChange {
    return this.createChange({
      case: 'opened',
      value: create(GrantBookSchema, {
        ...this.grant,
        open: [...this.openByRequestId.values()],
        settled: [...this.pendingBillsByRequestId.values()],
        transfers: [...this.pendingTransfersById.values()],
        returnedTokens: this.returnedTokens,
        ...(nomination === undefined ? {} : {nomination}),
      }),
    });
  }

  private addPendingBill(bill: Bill, tokens: number): BookChange {
    const charged = clone(BillSchema, bill);
    charged.grantId = this.grant.grantId;
    charged.tokens = tokens;
    this.pendingBillsByRequestId.set(charged.requestId, charged);
    this.settledTokens += charged.tokens;
    return this.createChange({case: 'settled', value: charged});
  }

  private removeReservation(requestId: string): number | undefined {
    const bound = this.openByRequestId.get(requestId)?.reservation?.boundTokens;
    if (bound === undefined) {
      return undefined;
    }
    this.openByRequestId.delete(requestId);
    this.reservedTokens -= bound;
    return bound;
  }

  private createChange(
    kind: MessageInitShape<typeof BookChangeSchema>['kind'],
    requestId = '',
  ): BookChange {
    return create(BookChangeSchema, {
      organisation: this.grant.organisation,
      grantId: this.grant.grantId,
      requestId,
      ...(kind === undefined ? {} : {kind}),
    });
  }
}

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
} from '@wisteriadeal/schema';

import {isTokenAmount} from './tokens.js';

/** What a book is opened with: a grant that the fold accepted. */
export interface GrantOpening {
  readonly grantId: string;
  readonly organisation: string;
  readonly tokens: number;
  readonly holder: string;
  readonly dataCenter: string;
}

/**
 * The holder's own account of one grant.
 *
 * Each method that changes it returns the change for the witness, or undefined
 * where the change is not possible. Tokens are debited before the change is sent
 * anywhere, so a lost message strands tokens and never creates them.
 *
 * @example
 * ```ts
 * const change = book.reserve(reservation);
 * if (change !== undefined) await witness.replicate(change);
 * ```
 */
export class HolderBook {
  private readonly open = new Map<string, RequestReservation>();
  private readonly settled = new Map<string, Bill>();
  private readonly transfers = new Map<string, Transfer>();
  private reservedTokens = 0;
  private settledTokens = 0;
  private transferredTokens = 0;
  private returnedTokens = 0;
  private closing = false;

  constructor(readonly opening: GrantOpening) {}

  /** What may still be reserved, transferred or returned. */
  get spendableTokens(): number {
    return this.closing ? 0 : this.freeTokens;
  }

  /** Tokens reserved for requests that are not settled. */
  get openTokens(): number {
    return this.reservedTokens;
  }

  /** Requests whose reservation is open. */
  get openReservations(): readonly RequestReservation[] {
    return [...this.open.values()];
  }

  /** Bills that the fold has not shown yet. */
  get unfoldedBills(): readonly Bill[] {
    return [...this.settled.values()];
  }

  /** Transfers that the fold has not shown yet. */
  get unfoldedTransfers(): readonly Transfer[] {
    return [...this.transfers.values()];
  }

  /** Whether the book takes no more reservations. */
  get isClosing(): boolean {
    return this.closing;
  }

  /** True once nothing is open and everything settled stands on the log. */
  get isSettled(): boolean {
    return (
      this.open.size === 0 &&
      this.settled.size === 0 &&
      this.transfers.size === 0
    );
  }

  /** Takes no more reservations; what runs is settled as before. */
  stopReserving(): void {
    this.closing = true;
  }

  /** Reserves a request's bound. */
  reserve(reservation: RequestReservation): BookChange | undefined {
    const open = reservation.reservation;
    if (
      open === undefined ||
      !isTokenAmount(open.boundTokens) ||
      open.boundTokens > this.spendableTokens ||
      this.open.has(open.requestId)
    ) {
      return undefined;
    }
    this.open.set(open.requestId, reservation);
    this.reservedTokens += open.boundTokens;
    return this.change({case: 'reserved', value: reservation});
  }

  /** Notes that another router goes on with a request. */
  reassign(requestId: string, router: string): BookChange | undefined {
    const open = this.open.get(requestId);
    if (open === undefined) {
      return undefined;
    }
    open.router = router;
    open.beginNumber = 0;
    return this.change({case: 'reserved', value: open});
  }

  /** Notes the attempt that runs now. */
  dispatching(
    requestId: string,
    attempt: AttemptReference,
  ): BookChange | undefined {
    const open = this.open.get(requestId)?.reservation;
    if (open === undefined) {
      return undefined;
    }
    open.attemptId = attempt.attemptId;
    open.endpoint = attempt.endpoint;
    return this.change({case: 'dispatching', value: attempt}, requestId);
  }

  /**
   * Settles a request once. Usage beyond the bound is not charged: the engine
   * was told the maximum, and nothing beyond it is covered by the budget.
   */
  settle(bill: Bill): BookChange | undefined {
    const bound = this.takeOpen(bill.requestId);
    if (bound === undefined) {
      return undefined;
    }
    const charged = clone(BillSchema, bill);
    charged.grantId = this.opening.grantId;
    charged.tokens = isTokenAmount(bill.tokens)
      ? Math.min(bill.tokens, bound)
      : bound;
    this.settled.set(charged.requestId, charged);
    this.settledTokens += charged.tokens;
    return this.change({case: 'settled', value: charged});
  }

  /** Releases the reservation of a request that was never dispatched. */
  release(requestId: string): BookChange | undefined {
    return this.takeOpen(requestId) === undefined
      ? undefined
      : this.change({case: 'released', value: {requestId}});
  }

  /** Debits a transfer to another holder. */
  transferOut(transfer: Transfer): BookChange | undefined {
    if (
      !isTokenAmount(transfer.tokens) ||
      transfer.tokens === 0 ||
      transfer.tokens > this.spendableTokens ||
      this.transfers.has(transfer.transferId)
    ) {
      return undefined;
    }
    const outgoing = clone(TransferSchema, transfer);
    outgoing.fromGrant = this.opening.grantId;
    this.transfers.set(outgoing.transferId, outgoing);
    this.transferredTokens += outgoing.tokens;
    return this.change({case: 'transferred', value: outgoing});
  }

  /** Debits tokens to be returned. */
  giveBack(tokens: number): BookChange | undefined {
    if (!isTokenAmount(tokens) || tokens > this.freeTokens) {
      return undefined;
    }
    this.returnedTokens += tokens;
    return this.change({
      case: 'returned',
      value: create(ReturnSchema, {grantId: this.opening.grantId, tokens}),
    });
  }

  /** The rest that a closing return gives back. */
  get freeTokens(): number {
    return (
      this.opening.tokens -
      this.reservedTokens -
      this.settledTokens -
      this.transferredTokens -
      this.returnedTokens
    );
  }

  /** The fold showed the bill; it needs no more memory here. */
  billFolded(requestId: string): void {
    this.settled.delete(requestId);
  }

  /**
   * The fold had another bill of the request before: this one does not count,
   * and its tokens can be spent again.
   */
  billIgnored(requestId: string): void {
    const bill = this.settled.get(requestId);
    if (bill !== undefined) {
      this.settled.delete(requestId);
      this.settledTokens -= bill.tokens;
    }
  }

  /** The fold showed the transfer. */
  transferFolded(transferId: string): void {
    this.transfers.delete(transferId);
  }

  /** The whole book, for a witness that does not know it. */
  opened(): BookChange {
    return this.change({
      case: 'opened',
      value: create(GrantBookSchema, {
        ...this.opening,
        open: [...this.open.values()],
        settled: [...this.settled.values()],
        transfers: [...this.transfers.values()],
        returnedTokens: this.returnedTokens,
      }),
    });
  }

  private takeOpen(requestId: string): number | undefined {
    const bound = this.open.get(requestId)?.reservation?.boundTokens;
    if (bound === undefined) {
      return undefined;
    }
    this.open.delete(requestId);
    this.reservedTokens -= bound;
    return bound;
  }

  private change(
    kind: MessageInitShape<typeof BookChangeSchema>['kind'],
    requestId = '',
  ): BookChange {
    return create(BookChangeSchema, {
      organisation: this.opening.organisation,
      grantId: this.opening.grantId,
      requestId,
      ...(kind === undefined ? {} : {kind}),
    });
  }
}

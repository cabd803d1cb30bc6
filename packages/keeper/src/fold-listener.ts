import {VerdictKind, type WitnessBook} from '@wisteriadeal/ledger';
import type {EventLog} from '@wisteriadeal/runtime';
import type {Bill, Reclaim, Transfer} from '@wisteriadeal/schema';

import type {GrantHolding} from './grant-holding.js';
import type {GrantManager} from './grant-manager.js';
import {LedgerListener, type FoldedEntry} from './ledger-replica.js';
import {RequestPhase, type RequestRegistry} from './request-registry.js';

/** Brings what the log shows into the holder's and the witness's books. */
export class FoldListener extends LedgerListener {
  constructor(
    private readonly self: string,
    private readonly grants: GrantManager,
    private readonly witnessBook: WitnessBook,
    private readonly registry: RequestRegistry,
    private readonly eventLog: EventLog,
  ) {
    super();
  }

  override folded({entry, writer, verdict}: FoldedEntry): void {
    const {organisation, kind} = entry;
    if (kind.case === 'bill') {
      this.billed(organisation, kind.value, writer, verdict.kind);
    }
    if (verdict.kind !== VerdictKind.Accepted) {
      return;
    }
    switch (kind.case) {
      case 'transfer':
        this.transferred(organisation, kind.value);
        return;
      case 'reclaim':
        this.reclaimed(organisation, kind.value);
        return;
      case 'return':
        if (kind.value.closes) {
          this.witnessBook.forget(kind.value.grantId);
        }
        return;
      case 'strandedRelease':
        this.noteClosed(this.grants.holding(organisation, kind.value.grantId));
        this.witnessBook.forget(kind.value.grantId);
        return;
      default:
        return;
    }
  }

  override restored(): void {
    // Holdings are compared with the state when their own entries resolve.
  }

  private billed(
    organisation: string,
    bill: Bill,
    writer: string,
    kind: VerdictKind,
  ): void {
    const holding = this.grants.holding(organisation, bill.grantId);
    if (kind === VerdictKind.Accepted) {
      this.witnessBook.billFolded(bill.grantId, bill.requestId);
      if (holding !== undefined) {
        // Another process may have billed it, for instance after its router
        // found another keeper; the book follows the log.
        holding.book.settle(bill);
        holding.book.billFolded(bill.requestId);
      }
      const request = this.registry.get(bill.requestId);
      if (request?.grantId === bill.grantId) {
        this.registry.settle(request, bill);
      }
    } else if (writer === this.self) {
      this.ownBillIgnored(holding, bill, kind);
    }
  }

  /**
   * An own bill that the fold ignored: had an earlier copy of it counted, the
   * book would have forgotten it by then, so another grant's bill came first.
   */
  private ownBillIgnored(
    holding: GrantHolding | undefined,
    bill: Bill,
    kind: VerdictKind,
  ): void {
    this.witnessBook.billFolded(bill.grantId, bill.requestId);
    if (kind === VerdictKind.Duplicate) {
      holding?.book.billIgnored(bill.requestId);
    } else {
      holding?.book.billFolded(bill.requestId);
      this.eventLog.error('bill refused', {
        request: bill.requestId,
        grant: bill.grantId,
        tokens: bill.tokens,
      });
    }
  }

  private transferred(organisation: string, transfer: Transfer): void {
    const {fromGrant, transferId, toHolder} = transfer;
    this.grants
      .holding(organisation, fromGrant)
      ?.book.transferFolded(transferId);
    this.witnessBook.transferFolded(fromGrant, transferId);
    if (toHolder === this.self) {
      // The giver's answer may have been lost; the record gives the tokens.
      this.grants.accept(organisation, transfer);
    }
  }

  private reclaimed(organisation: string, reclaim: Reclaim): void {
    const holding = this.grants.holding(organisation, reclaim.grantId);
    this.noteClosed(holding);
    reclaim.settled.forEach(bill => {
      holding?.book.billFolded(bill.requestId);
    });
    reclaim.transfers.forEach(transfer => {
      holding?.book.transferFolded(transfer.transferId);
    });
    if (reclaim.witness === this.self) {
      this.adoptRequests(organisation, reclaim.grantId);
    }
    this.witnessBook.forget(reclaim.grantId);
  }

  private adoptRequests(organisation: string, grantId: string): void {
    for (const open of this.witnessBook.openReservations(grantId)) {
      this.eventLog.info('request inherited', {
        request: open.reservation?.requestId,
        organisation,
        grant: grantId,
        router: open.router,
        tokens: open.reservation?.boundTokens,
      });
      this.registry.adopt(organisation, grantId, open, RequestPhase.Running);
    }
  }

  private noteClosed(holding: GrantHolding | undefined): void {
    if (holding !== undefined) {
      holding.isClosed = true;
    }
  }
}

import {VerdictKind, type WitnessBook} from '@wisteriadeal/ledger';
import type {EventLog} from '@wisteriadeal/runtime';
import type {Bill, Reclaim, Transfer} from '@wisteriadeal/schema';

import type {GrantHolding} from './grant-holding.js';
import type {GrantManager} from './grant-manager.js';
import {LedgerListener, type FoldedEntry} from './ledger-replica.js';
import type {RequestRegistry} from './request-registry.js';

/** Applies folded log entries to the holder's books and the witness's book. */
export class FoldListener extends LedgerListener {
  constructor(
    private readonly self: string,
    private readonly grantManager: GrantManager,
    private readonly witnessBook: WitnessBook,
    private readonly registry: RequestRegistry,
    private readonly eventLog: EventLog,
  ) {
    super();
  }

  override entryFolded({entry, writer, verdict}: FoldedEntry): void {
    const {organisation, kind} = entry;
    if (kind.case === 'bill') {
      this.handleBill(organisation, kind.value, writer, verdict.kind);
    }
    if (kind.case === 'witnessChange') {
      // An entry that was decided long ago is no longer known as a duplicate.
      this.witnessBook.removeNomination(kind.value.grantId, entry.entryId);
    }
    if (verdict.kind !== VerdictKind.Accepted) {
      return;
    }
    switch (kind.case) {
      case 'transfer':
        this.handleTransfer(organisation, kind.value);
        return;
      case 'reclaim':
        this.handleReclaim(organisation, kind.value);
        return;
      case 'return':
        if (kind.value.closes) {
          this.witnessBook.removeGrant(kind.value.grantId);
        }
        return;
      case 'strandedRelease':
        this.markClosed(
          this.grantManager.holding(organisation, kind.value.grantId),
        );
        this.witnessBook.removeGrant(kind.value.grantId);
        return;
      default:
        return;
    }
  }

  override checkpointRestored(): void {
    // Holdings are compared with the restored state when the verdicts of their
    // own entries arrive.
    for (const {holdings} of this.grantManager.all) {
      for (const {book} of holdings.values()) {
        book.recordSkippedRecords();
      }
    }
  }

  private handleBill(
    organisation: string,
    bill: Bill,
    writer: string,
    kind: VerdictKind,
  ): void {
    const holding = this.grantManager.holding(organisation, bill.grantId);
    if (kind === VerdictKind.Accepted) {
      this.witnessBook.removeFoldedBill(bill.grantId, bill.requestId);
      holding?.book.applyFoldedBill(bill);
      const request = this.registry.get(bill.requestId);
      if (request?.grantId === bill.grantId) {
        this.registry.settle(request, bill);
      }
    } else if (writer === this.self) {
      this.handleIgnoredOwnBill(holding, bill, kind);
    }
  }

  /**
   * Handles a bill of this keeper that the fold did not accept. If an earlier
   * copy of the same bill had been folded, the book would already have dropped
   * it. A duplicate therefore means that a bill under another grant came first,
   * unless records were skipped.
   */
  private handleIgnoredOwnBill(
    holding: GrantHolding | undefined,
    bill: Bill,
    kind: VerdictKind,
  ): void {
    this.witnessBook.removeFoldedBill(bill.grantId, bill.requestId);
    if (kind === VerdictKind.Duplicate) {
      holding?.book.refundDuplicateBill(bill.requestId);
    } else {
      holding?.book.refundDuplicateBill(bill.requestId);
      this.eventLog.error('bill refused', {
        request: bill.requestId,
        grant: bill.grantId,
        tokens: bill.tokens,
      });
    }
  }

  private handleTransfer(organisation: string, transfer: Transfer): void {
    const {fromGrant, transferId, toHolder} = transfer;
    this.grantManager
      .holding(organisation, fromGrant)
      ?.book.removeFoldedTransfer(transferId);
    this.witnessBook.removeFoldedTransfer(fromGrant, transferId);
    if (toHolder === this.self) {
      // The answer of the sending holder may have been lost; the log entry is
      // sufficient to accept the tokens.
      this.grantManager.acceptTransfer(organisation, transfer);
    }
  }

  private handleReclaim(organisation: string, reclaim: Reclaim): void {
    const holding = this.grantManager.holding(organisation, reclaim.grantId);
    this.markClosed(holding);
    reclaim.settled.forEach(bill => {
      holding?.book.removeFoldedBill(bill.requestId);
    });
    reclaim.transfers.forEach(transfer => {
      holding?.book.removeFoldedTransfer(transfer.transferId);
      if (transfer.toHolder === this.self) {
        // No record of its own may follow, if the sending holder is lost.
        this.grantManager.acceptLoggedTransfer(organisation, transfer);
      }
    });
    reclaim.settled.forEach(({requestId}) => {
      this.witnessBook.removeFoldedBill(reclaim.grantId, requestId);
    });
    // Bills that the reclaiming witness did not have stay until they are
    // submitted.
    if (this.witnessBook.settledBills(reclaim.grantId).length === 0) {
      this.witnessBook.removeGrant(reclaim.grantId);
    }
  }

  private markClosed(holding: GrantHolding | undefined): void {
    if (holding !== undefined) {
      holding.isClosed = true;
    }
  }
}

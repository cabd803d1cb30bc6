import {clone, create} from '@bufbuild/protobuf';
import {BillSchema, type Bill, type SettleRequest} from '@wisteriadeal/schema';

import type {BookReplicator} from './book-replicator.js';
import type {GrantManager} from './grant-manager.js';
import {Urgency, type LedgerAppender} from './ledger-appender.js';
import {billEntry} from './ledger-entries.js';
import type {RequestRegistry} from './request-registry.js';
import {Acknowledgement} from './witness-link.js';

/** Settles requests and submits their bills to the log. */
export class SettlementService {
  constructor(
    private readonly appender: LedgerAppender,
    private readonly replicator: BookReplicator,
    private readonly grantManager: GrantManager,
    private readonly registry: RequestRegistry,
  ) {}

  /**
   * Settles a request. Resolves once the bill is stored on a second host or on
   * the log, so that the router may drop it.
   */
  async settle(message: SettleRequest): Promise<void> {
    const bill = clone(BillSchema, message.bill ?? create(BillSchema));
    bill.requestId = message.requestId;
    bill.grantId = message.grantId;
    await this.settleBill(message.organisation, bill);
  }

  /**
   * Settles a request with a bill from its router or from the orphan settler.
   */
  async settleBill(organisation: string, bill: Bill): Promise<void> {
    const request = this.registry.get(bill.requestId);
    const holding = this.grantManager.holding(organisation, bill.grantId);
    const change = holding?.book.settle(bill);
    if (holding === undefined || change?.kind.case !== 'settled') {
      if (request !== undefined) {
        this.registry.settle(request, bill);
      }
      if (holding === undefined) {
        // The grant belongs to another holder or was reclaimed. The fold
        // contains the inherited reservations, so the bill only has to be on
        // the log.
        await this.appender.submit(billEntry(organisation, bill));
      }
      return;
    }
    const charged = change.kind.value;
    if (request !== undefined) {
      this.registry.settle(request, charged);
    }
    this.grantManager
      .forOrganisation(organisation)
      .recordDemand(charged.tokens);
    const logged = this.appender.submit(
      billEntry(organisation, charged),
      Urgency.Batched,
    );
    const acknowledged = await this.replicator.commit(holding, change);
    const witnessed =
      acknowledged === Acknowledgement.Applied && holding.witness !== '';
    if (!witnessed) {
      await logged;
    }
  }
}

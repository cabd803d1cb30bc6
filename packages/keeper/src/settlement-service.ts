import {clone, create} from '@bufbuild/protobuf';
import {BillSchema, type Bill, type SettleRequest} from '@wisteriadeal/schema';

import type {BookReplicator} from './book-replicator.js';
import type {GrantManager} from './grant-manager.js';
import {Urgency, type LedgerAppender} from './ledger-appender.js';
import {billEntry} from './ledger-entries.js';
import type {RequestRegistry} from './request-registry.js';
import {Acknowledgement} from './witness-link.js';

/** Settles requests, and brings their bills to the log. */
export class SettlementService {
  constructor(
    private readonly appender: LedgerAppender,
    private readonly replicator: BookReplicator,
    private readonly grants: GrantManager,
    private readonly registry: RequestRegistry,
  ) {}

  /**
   * Settles a request. Resolves once the bill is known to a second host or
   * stands on the log, so that the router may forget it.
   */
  async settle(message: SettleRequest): Promise<void> {
    const bill = clone(BillSchema, message.bill ?? create(BillSchema));
    bill.requestId = message.requestId;
    bill.grantId = message.grantId;
    await this.settleBill(message.organisation, bill);
  }

  /** Settles with a bill, from whoever knows what was used. */
  async settleBill(organisation: string, bill: Bill): Promise<void> {
    const request = this.registry.get(bill.requestId);
    const holding = this.grants.holding(organisation, bill.grantId);
    const change = holding?.book.settle(bill);
    if (holding === undefined || change?.kind.case !== 'settled') {
      if (request !== undefined) {
        this.registry.settle(request, bill);
      }
      if (holding === undefined) {
        // A grant of another holder, or one that was reclaimed: the fold knows
        // what was inherited, and the log is the second place.
        await this.appender.submit(billEntry(organisation, bill));
      }
      return;
    }
    const charged = change.kind.value;
    if (request !== undefined) {
      this.registry.settle(request, charged);
    }
    this.grants.of(organisation).noteDemand(charged.tokens);
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

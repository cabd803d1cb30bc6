import {RefusalReason, VerdictKind} from '@wisteriadeal/ledger';
import type {EventLog} from '@wisteriadeal/runtime';
import type {Bill} from '@wisteriadeal/schema';

import type {BookReplicator} from './book-replicator.js';
import type {GrantManager} from './grant-manager.js';
import {Urgency, type LedgerAppender} from './ledger-appender.js';
import {billEntry} from './ledger-entries.js';
import type {LedgerReplicas} from './ledger-replicas.js';

/**
 * Submits bills until the log has accepted them.
 *
 * The log refuses a bill if its grant was closed without the reservation, or
 * does not cover it any more. The request ran all the same, so the bill is then
 * charged to another grant that this keeper holds.
 */
export class BillSubmitter {
  constructor(
    private readonly appender: LedgerAppender,
    private readonly replicas: LedgerReplicas,
    private readonly replicator: BookReplicator,
    private readonly grantManager: GrantManager,
    private readonly eventLog: EventLog,
  ) {}

  /**
   * Submits a bill and resolves once the log has decided it.
   *
   * @returns Whether the request is billed on the log.
   */
  async submit(
    organisation: string,
    bill: Bill,
    urgency = Urgency.Immediate,
  ): Promise<boolean> {
    if (this.isRefusalExpected(organisation, bill)) {
      return this.chargeOtherGrant(organisation, bill);
    }
    const {verdict} = await this.appender.submit(
      billEntry(organisation, bill),
      urgency,
    );
    const isChargeable =
      verdict.reason === RefusalReason.NotInherited ||
      verdict.reason === RefusalReason.GrantTooSmall;
    return isChargeable
      ? this.chargeOtherGrant(organisation, bill)
      : verdict.kind !== VerdictKind.Refused;
  }

  /**
   * Submits a bill and resolves once it can't be lost with this keeper.
   *
   * @returns Whether a peer keeps the bill or the request is billed on the log.
   */
  async submitAndStore(
    organisation: string,
    bill: Bill,
    urgency = Urgency.Immediate,
  ): Promise<boolean> {
    const billed = this.submit(organisation, bill, urgency);
    const copied = this.appender.whenCopied(billEntry(organisation, bill));
    return (await Promise.race([copied, billed])) || billed;
  }

  /** Whether the log, as far as it was read, would refuse a bill. */
  private isRefusalExpected(organisation: string, bill: Bill): boolean {
    const ledger = this.replicas.ledgerOf(organisation);
    const grant = ledger.grant(organisation, bill.grantId);
    if (
      grant === undefined ||
      grant.announcedByBill ||
      ledger.isBilled(organisation, bill.requestId)
    ) {
      return false;
    }
    return grant.closed
      ? !grant.inherited.some(open => open.requestId === bill.requestId)
      : bill.tokens > grant.tokens - grant.billedTokens;
  }

  private async chargeOtherGrant(
    organisation: string,
    bill: Bill,
  ): Promise<boolean> {
    const holdings = [
      ...this.grantManager.forOrganisation(organisation).holdings.values(),
    ];
    const pending = holdings
      .flatMap(({book}) => book.pendingBills)
      .find(
        ({requestId, grantId}) =>
          requestId === bill.requestId && grantId !== bill.grantId,
      );
    if (pending !== undefined) {
      return this.submit(organisation, pending);
    }
    const holding = holdings.find(
      ({grantId, spendableTokens}) =>
        grantId !== bill.grantId && spendableTokens >= bill.tokens,
    );
    const change = holding?.book.charge(bill);
    if (holding === undefined || change?.kind.case !== 'settled') {
      this.eventLog.debug('bill not covered by any grant', {
        organisation,
        request: bill.requestId,
        grant: bill.grantId,
        tokens: bill.tokens,
      });
      return false;
    }
    void this.replicator.replicateSettlement(holding, change);
    return this.submit(organisation, change.kind.value);
  }
}

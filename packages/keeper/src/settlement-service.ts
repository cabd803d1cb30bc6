import {clone, create} from '@bufbuild/protobuf';
import {
  BillSchema,
  type Bill,
  type BookChange,
  type SettleRequest,
} from '@wisteriadeal/schema';

import type {BillSubmitter} from './bill-submitter.js';
import type {BookReplicator} from './book-replicator.js';
import type {GrantHolding} from './grant-holding.js';
import type {GrantManager} from './grant-manager.js';
import {Urgency} from './ledger-appender.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {RequestRegistry} from './request-registry.js';

/** Settles requests and submits their bills to the log. */
export class SettlementService {
  /** Settlements whose bills are not stored yet, by request identifier. */
  private readonly inProgress = new Map<string, Promise<boolean>>();

  constructor(
    private readonly bills: BillSubmitter,
    private readonly replicas: LedgerReplicas,
    private readonly replicator: BookReplicator,
    private readonly grantManager: GrantManager,
    private readonly registry: RequestRegistry,
  ) {}

  /**
   * Settles a request.
   *
   * @returns Whether the bill is stored on a second host or on the log, so that
   *     the router may drop it. Otherwise the router must send it again.
   */
  async settle(message: SettleRequest): Promise<boolean> {
    const bill = clone(BillSchema, message.bill ?? create(BillSchema));
    bill.requestId = message.requestId;
    bill.grantId = message.grantId;
    return this.settleBill(message.organisation, bill);
  }

  /**
   * Settles a request with a bill from its router or from the orphan settler. A
   * settlement that is repeated shares the result of the first one.
   *
   * @returns Whether the bill is stored on a second host or on the log.
   */
  settleBill(organisation: string, bill: Bill): Promise<boolean> {
    const {requestId} = bill;
    const running = this.inProgress.get(requestId);
    if (running !== undefined) {
      return running;
    }
    const settlement = this.settleOnce(organisation, bill).finally(() => {
      this.inProgress.delete(requestId);
    });
    this.inProgress.set(requestId, settlement);
    return settlement;
  }

  private async settleOnce(organisation: string, bill: Bill): Promise<boolean> {
    const {requestId, grantId} = bill;
    const holding = this.grantManager.holding(organisation, grantId);
    const change = holding?.book.settle(bill);
    if (holding !== undefined && change !== undefined) {
      return this.storeChange(organisation, holding, change);
    }
    if (
      holding?.book.hasPendingBill(requestId) === true ||
      this.replicas.ledgerOf(organisation).isBilled(organisation, requestId)
    ) {
      this.settleInRegistry(bill);
      return true;
    }
    return this.storeWithoutReservation(organisation, holding, bill);
  }

  private async storeChange(
    organisation: string,
    holding: GrantHolding,
    change: BookChange,
  ): Promise<boolean> {
    if (change.kind.case !== 'settled') {
      return false;
    }
    const charged = change.kind.value;
    this.settleInRegistry(charged);
    this.grantManager
      .forOrganisation(organisation)
      .recordDemand(charged.tokens);
    const isStored = await firstTrue([
      this.bills.submitAndStore(organisation, charged, Urgency.Batched),
      this.replicator.replicateSettlement(holding, change),
    ]);
    if (!isStored) {
      // The log refuses it under this grant, and no other grant covers it yet.
      // A pending bill would be acknowledged when the router sends it again.
      holding.book.refundDuplicateBill(charged.requestId);
    }
    return isStored;
  }

  /**
   * Stores the bill of a request that has no reservation here. Either the grant
   * belongs to another holder or was reclaimed, and the fold contains the
   * inherited reservations. Or the reservation was released although the
   * request ran, and its tokens are charged again.
   */
  private async storeWithoutReservation(
    organisation: string,
    holding: GrantHolding | undefined,
    bill: Bill,
  ): Promise<boolean> {
    if (holding?.isClosed === false) {
      const change = holding.book.charge(bill);
      if (change !== undefined) {
        return this.storeChange(organisation, holding, change);
      }
    }
    const isStored = await this.bills.submitAndStore(organisation, bill);
    if (isStored) {
      this.settleInRegistry(bill);
    }
    return isStored;
  }

  private settleInRegistry(bill: Bill): void {
    const request = this.registry.get(bill.requestId);
    if (request !== undefined) {
      this.registry.settle(request, bill);
    }
  }
}

/** Resolves with true once one of the promises does, else with false. */
async function firstTrue(
  promises: readonly Promise<boolean>[],
): Promise<boolean> {
  const results = promises.map(async promise => {
    if (!(await promise)) {
      throw new Error('not stored');
    }
    return true;
  });
  return Promise.any(results).catch(() => false);
}

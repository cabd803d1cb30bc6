import {
  RefusalReason,
  type EntryVerdict,
  type WitnessBook,
} from '@wisteriadeal/ledger';
import type {EventLog} from '@wisteriadeal/runtime';
import type {Bill} from '@wisteriadeal/schema';

import type {LedgerAppender} from './ledger-appender.js';
import {billEntry, ledgerEntry} from './ledger-entries.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {MembershipTable} from './membership-table.js';

/**
 * Takes back the grants of lost holders.
 *
 * The delay decides only whether fencing is worth while. Whether it is safe does
 * not depend on it: see the witness's book.
 */
export class Reclaimer {
  private readonly reclaiming = new Set<string>();
  private readonly firstMissed = new Map<string, number>();
  /** Request identifiers of bills submitted for lost holders, until folded. */
  private readonly pendingBills = new Set<string>();
  private reclaims = 0;

  constructor(
    private readonly membership: MembershipTable,
    private readonly replicas: LedgerReplicas,
    private readonly witnessBook: WitnessBook,
    private readonly appender: LedgerAppender,
    private readonly patienceMilliseconds: number,
    private readonly now: () => number,
    private readonly eventLog: EventLog,
  ) {}

  /** Looks for holders that are lost. */
  review(): void {
    const {self} = this.membership;
    for (const {ledger} of this.replicas.all) {
      for (const organisation of ledger.organisationNames) {
        for (const grant of ledger.grants(organisation)) {
          if (grant.closed || this.reclaiming.has(grant.grantId)) {
            continue;
          }
          if (grant.witness === self.incarnation) {
            if (this.isLost(grant.holder)) {
              this.reclaim(organisation, grant.grantId, grant.holder);
            }
            continue;
          }
          const bills = this.witnessBook.settledBills(grant.grantId);
          if (bills.length > 0 && this.isLost(grant.holder)) {
            this.submitBills(organisation, grant.grantId, bills);
          }
        }
      }
    }
  }

  /**
   * Submits the settled bills of a lost holder whose grant this keeper cannot
   * reclaim, because the log has not named it as the witness. Otherwise the bills
   * of a holder that was cut off from the log and died are never written. If the
   * holder returns and submits them too, the fold counts the first bill of each
   * request.
   */
  private submitBills(
    organisation: string,
    grantId: string,
    bills: readonly Bill[],
  ): void {
    for (const bill of bills) {
      const {requestId} = bill;
      if (this.pendingBills.has(requestId)) {
        continue;
      }
      this.pendingBills.add(requestId);
      void this.appender
        .submit(billEntry(organisation, bill))
        .then(({verdict}) => {
          this.pendingBills.delete(requestId);
          this.witnessBook.billFolded(grantId, requestId);
          this.eventLog.info('holder lost: bill submitted', {
            organisation,
            grant: grantId,
            request: requestId,
            verdict: verdict.kind,
            reason: verdict.reason,
          });
        });
    }
  }

  /** A holder that was never heard counts from when it was first missed. */
  private isLost(holder: string): boolean {
    const silence = this.membership.silenceMilliseconds(holder);
    if (Number.isFinite(silence)) {
      this.firstMissed.delete(holder);
      return silence > this.patienceMilliseconds;
    }
    const first = this.firstMissed.get(holder) ?? this.now();
    this.firstMissed.set(holder, first);
    return this.now() - first > this.patienceMilliseconds;
  }

  private reclaim(organisation: string, grantId: string, holder: string): void {
    this.reclaiming.add(grantId);
    this.witnessBook.fence(grantId);
    const value = this.witnessBook.reclaim(
      grantId,
      this.membership.self.incarnation,
    );
    if (value === undefined) {
      return;
    }
    this.eventLog.warn('holder lost: grant fenced', {
      organisation,
      grant: grantId,
      peer: holder,
      openReservations: value.openReservations.length,
    });
    // A refused reclaim must not make a duplicate of a later one.
    const entryId = `reclaim:${grantId}:${value.witness}:${this.reclaims++}`;
    void this.appender
      .submit(ledgerEntry(entryId, organisation, {case: 'reclaim', value}))
      .then(({verdict}) => {
        this.eventLog.info('grant reclaimed', {
          organisation,
          grant: grantId,
          verdict: verdict.kind,
          reason: verdict.reason,
        });
        this.reclaimDecided(grantId, verdict);
      });
  }

  /**
   * Load: a slow holder was taken for lost, and has named another witness meanwhile.
   * Harm of a fence that stays: the holder can never come back to this witness, and
   * nobody reclaims the grant here once the holder is lost.
   */
  private reclaimDecided(grantId: string, {reason}: EntryVerdict): void {
    if (reason === RefusalReason.NotWitness) {
      this.witnessBook.liftFence(grantId);
      this.reclaiming.delete(grantId);
    }
  }
}

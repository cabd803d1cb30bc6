import {
  RefusalReason,
  type EntryVerdict,
  type WitnessBook,
} from '@wisteriadeal/ledger';
import type {EventLog} from '@wisteriadeal/runtime';
import type {GrantState} from '@wisteriadeal/schema';

import type {BillSubmitter} from './bill-submitter.js';
import type {LedgerAppender} from './ledger-appender.js';
import {ledgerEntry, witnessChangeEntry} from './ledger-entries.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {MembershipTable} from './membership-table.js';

/**
 * Reclaims the grants of lost holders that this keeper witnesses.
 *
 * The timeout after which a holder counts as lost affects only how often a live
 * holder is fenced. Safety does not depend on it, see `WitnessBook`.
 */
export class Reclaimer {
  private readonly reclaiming = new Set<string>();
  /**
   * Time of the first check of each holder without any heartbeat, in
   * milliseconds of the monotonic clock.
   */
  private readonly firstCheckedAt = new Map<string, number>();
  /**
   * Request identifiers of bills that were submitted for lost holders and not
   * folded yet.
   */
  private readonly pendingBills = new Set<string>();
  /** Identifiers of the nominations that were submitted for lost holders. */
  private readonly appendedNominations = new Set<string>();
  private submittedReclaims = 0;

  constructor(
    private readonly membership: MembershipTable,
    private readonly replicas: LedgerReplicas,
    private readonly witnessBook: WitnessBook,
    private readonly appender: LedgerAppender,
    private readonly bills: BillSubmitter,
    private readonly holderTimeoutMilliseconds: number,
    private readonly now: () => number,
    private readonly eventLog: EventLog,
  ) {}

  /** Reclaims grants or submits bills of holders that are lost. */
  review(): void {
    const {self} = this.membership;
    for (const {ledger} of this.replicas.all) {
      for (const organisation of ledger.organisationNames) {
        for (const grant of ledger.grants(organisation)) {
          if (grant.closed) {
            this.submitLeftoverBills(organisation, grant.grantId);
            continue;
          }
          if (this.reclaiming.has(grant.grantId)) {
            continue;
          }
          if (grant.witness === self.incarnation) {
            if (this.isLost(grant.holder)) {
              this.reclaim(organisation, grant.grantId, grant.holder);
            }
            continue;
          }
          if (this.hasCopyOf(grant.grantId) && this.isLost(grant.holder)) {
            this.submitBills(organisation, grant.grantId);
            this.appendNomination(organisation, grant);
          }
        }
      }
    }
  }

  /**
   * Whether this keeper must not stop yet: the log names it as the witness of a
   * grant, which its holder has to change or this keeper to reclaim, or it has
   * bills of a lost holder.
   */
  get isNeeded(): boolean {
    const {incarnation} = this.membership.self;
    return this.replicas.all.some(({ledger}) =>
      ledger.organisationNames.some(organisation =>
        ledger
          .grants(organisation)
          .some(
            ({closed, witness, holder, grantId}) =>
              (!closed && witness === incarnation) ||
              (this.hasCopyOf(grantId) &&
                (closed || !this.membership.isReachable(holder))),
          ),
      ),
    );
  }

  /**
   * Submits bills that were settled here and that the witness which reclaimed
   * the grant did not have.
   */
  private submitLeftoverBills(organisation: string, grantId: string): void {
    if (this.witnessBook.settledBills(grantId).length > 0) {
      this.submitBills(organisation, grantId);
    }
  }

  /** Whether this keeper has bills or a nomination of a grant to write. */
  private hasCopyOf(grantId: string): boolean {
    return (
      this.witnessBook.nomination(grantId) !== undefined ||
      this.witnessBook.settledBills(grantId).length > 0
    );
  }

  /**
   * Appends the change of witness by which a lost holder nominated this keeper,
   * so that it can reclaim the grant. The holder may have lost its connection to
   * the log, and the witness that the log names may be lost as well.
   */
  private appendNomination(
    organisation: string,
    {grantId, witness}: GrantState,
  ): void {
    const nomination = this.witnessBook.nomination(grantId);
    if (
      nomination?.from !== witness ||
      this.appendedNominations.has(nomination.entryId) ||
      this.replicas
        .ledgerOf(organisation)
        .hasSeen(organisation, nomination.entryId)
    ) {
      return;
    }
    const {entryId, from, changeNumber} = nomination;
    this.appendedNominations.add(entryId);
    const to = this.membership.self.incarnation;
    void this.appender
      .submit(
        witnessChangeEntry(entryId, organisation, {
          grantId,
          from,
          to,
          changeNumber,
        }),
      )
      .then(({verdict}) => {
        this.eventLog.info('holder lost: nomination submitted', {
          organisation,
          grant: grantId,
          verdict: verdict.kind,
          reason: verdict.reason,
        });
      });
  }

  /**
   * Submits the settled bills of a lost holder whose grant this keeper can't
   * reclaim because the log has not named it as the witness. Otherwise the
   * bills of a holder that lost its connection to the log and then died would
   * never be written. If the holder returns and submits them too, the fold
   * counts only the first bill of each request.
   */
  private submitBills(organisation: string, grantId: string): void {
    for (const bill of this.witnessBook.settledBills(grantId)) {
      const {requestId} = bill;
      if (this.pendingBills.has(requestId)) {
        continue;
      }
      this.pendingBills.add(requestId);
      void this.bills.submit(organisation, bill).then(isBilled => {
        this.pendingBills.delete(requestId);
        if (isBilled) {
          this.witnessBook.removeFoldedBill(grantId, requestId);
          this.eventLog.info('holder lost: bill submitted', {
            organisation,
            grant: grantId,
            request: requestId,
          });
        }
      });
    }
  }

  /**
   * Whether a holder has sent no heartbeat for longer than the timeout. For a
   * holder without any heartbeat, the time starts with the first check.
   */
  private isLost(holder: string): boolean {
    const sinceHeartbeat = this.membership.millisecondsSinceHeartbeat(holder);
    if (Number.isFinite(sinceHeartbeat)) {
      this.firstCheckedAt.delete(holder);
      return sinceHeartbeat > this.holderTimeoutMilliseconds;
    }
    const firstChecked = this.firstCheckedAt.get(holder) ?? this.now();
    this.firstCheckedAt.set(holder, firstChecked);
    return this.now() - firstChecked > this.holderTimeoutMilliseconds;
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
    // The counter makes each identifier unique, so that a reclaim that follows
    // a refused one is not ignored as a duplicate.
    const entryId = `reclaim:${grantId}:${value.witness}:${this.submittedReclaims++}`;
    void this.appender
      .submit(ledgerEntry(entryId, organisation, {case: 'reclaim', value}))
      .then(({verdict}) => {
        this.eventLog.info('grant reclaimed', {
          organisation,
          grant: grantId,
          verdict: verdict.kind,
          reason: verdict.reason,
        });
        this.handleReclaimVerdict(grantId, verdict);
      });
  }

  /**
   * Lifts the fence if the log refused the reclaim because another witness is
   * in force. This happens if a slow holder was treated as lost and has changed
   * its witness in the meantime. With the fence left in place, the holder could
   * never use this witness again, and this keeper would not reclaim the grant
   * once the holder is really lost.
   */
  private handleReclaimVerdict(grantId: string, {reason}: EntryVerdict): void {
    if (reason === RefusalReason.NotWitness) {
      this.witnessBook.unfence(grantId);
      this.reclaiming.delete(grantId);
    }
  }
}

import type {WitnessBook} from '@wisteriadeal/ledger';
import type {EventLog} from '@wisteriadeal/runtime';

import type {LedgerAppender} from './ledger-appender.js';
import {ledgerEntry} from './ledger-entries.js';
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
          if (
            !grant.closed &&
            grant.witness === self.incarnation &&
            !this.reclaiming.has(grant.grantId) &&
            this.isLost(grant.holder)
          ) {
            this.reclaim(organisation, grant.grantId, grant.holder);
          }
        }
      }
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
    void this.appender
      .submit(
        ledgerEntry(`reclaim:${grantId}`, organisation, {
          case: 'reclaim',
          value,
        }),
      )
      .then(({verdict}) => {
        this.eventLog.info('grant reclaimed', {
          organisation,
          grant: grantId,
          verdict: verdict.kind,
          reason: verdict.reason,
        });
      });
  }
}

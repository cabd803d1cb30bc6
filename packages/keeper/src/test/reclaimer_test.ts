import {RefusalReason, VerdictKind, WitnessBook} from '@wisteriadeal/ledger';
import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel, type LedgerEntry} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import type {BillSubmitter} from '../bill-submitter.js';
import type {LedgerAppender, SubmittedVerdict} from '../ledger-appender.js';
import type {LedgerReplicas} from '../ledger-replicas.js';
import type {MembershipTable} from '../membership-table.js';
import {Reclaimer} from '../reclaimer.js';

const SELF = 'witness';
const GRANT = 'g1';
const HOLDER_TIMEOUT_MILLISECONDS = 1_000;

const membershipWithLostHolder = {
  self: {incarnation: SELF},
  millisecondsSinceHeartbeat: () => HOLDER_TIMEOUT_MILLISECONDS + 1,
} as unknown as MembershipTable;

/** Replicas with one grant that has this keeper as its witness. */
const replicasNamingSelf = {
  all: [
    {
      ledger: {
        organisationNames: ['org'],
        grants: () => [
          {grantId: GRANT, closed: false, witness: SELF, holder: 'holder'},
        ],
      },
    },
  ],
} as unknown as LedgerReplicas;

/** An appender of a log on which another witness is already in force. */
class RefusingAppender {
  readonly submitted: LedgerEntry[] = [];

  submit(entry: LedgerEntry): Promise<SubmittedVerdict> {
    this.submitted.push(entry);
    const verdict = {
      entryId: entry.entryId,
      organisation: entry.organisation,
      kind: VerdictKind.Refused,
      reason: RefusalReason.NotWitness,
    };
    return Promise.resolve({verdict, mayDuplicateItself: false});
  }
}

describe('Reclaimer', () => {
  it('lifts its fence when the log refuses the reclaim because of a new witness', async () => {
    // Guards against a grant that neither its holder can use nor a witness
    // reclaim.
    const book = new WitnessBook();
    const appender = new RefusingAppender();
    const reclaimer = new Reclaimer(
      membershipWithLostHolder,
      replicasNamingSelf,
      book,
      appender as unknown as LedgerAppender,
      {} as unknown as BillSubmitter,
      HOLDER_TIMEOUT_MILLISECONDS,
      () => 0,
      EventLog.create(LogLevel.ERROR, {}),
    );
    reclaimer.review();
    expect(book.isFenced(GRANT)).toBe(true);
    await new Promise(resolve => setImmediate(resolve));
    expect(book.isFenced(GRANT)).toBe(false);
    reclaimer.review();
    const entryIds = appender.submitted.map(({entryId}) => entryId);
    expect(new Set(entryIds).size).toBe(2);
  });
});

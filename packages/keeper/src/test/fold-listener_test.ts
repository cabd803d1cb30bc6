import {create} from '@bufbuild/protobuf';
import {
  BookChangeResult,
  RefusalReason,
  VerdictKind,
  WitnessBook,
} from '@wisteriadeal/ledger';
import {EventLog} from '@wisteriadeal/runtime';
import {BookChangeSchema, LogLevel} from '@wisteriadeal/schema';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {describe, expect, it} from 'vitest';

import {FoldListener} from '../fold-listener.js';
import type {GrantManager} from '../grant-manager.js';
import {ledgerEntry} from '../ledger-entries.js';
import {RequestRegistry} from '../request-registry.js';

const SELF = 'first';
const OTHER = 'second';
const GRANT = 'g1';

const holdsNoGrants = {holding: () => undefined} as unknown as GrantManager;

function openBook(book: WitnessBook): void {
  const value = {
    grantId: GRANT,
    organisation: 'org',
    holder: 'holder',
    dataCenter: 'a',
    tokens: 1_000,
    open: [{reservation: {requestId: 'r1', boundTokens: 100}}],
  };
  const change = create(BookChangeSchema, {
    organisation: 'org',
    grantId: GRANT,
    kind: {case: 'opened', value},
  });
  expect(book.apply(change)).toBe(BookChangeResult.Applied);
}

function foldWitnessChange(listener: FoldListener, from: string, to: string) {
  const entry = ledgerEntry(`witness:${from}:${to}`, 'org', {
    case: 'witnessChange',
    value: {grantId: GRANT, from, to},
  });
  listener.entryFolded({
    stream: 'ledger-0',
    offset: 0,
    writer: 'holder',
    entry,
    verdict: {
      entryId: entry.entryId,
      organisation: 'org',
      kind: VerdictKind.Accepted,
      reason: RefusalReason.None,
    },
  });
}

describe('FoldListener', () => {
  it('keeps the book of a grant whose holder changes back to this witness', () => {
    // Guards against a reclaim that frees tokens which running requests still
    // spend.
    const book = new WitnessBook();
    const listener = new FoldListener(
      SELF,
      holdsNoGrants,
      book,
      new RequestRegistry(new FakeClock()),
      EventLog.create(LogLevel.ERROR, {}),
    );
    openBook(book);
    // The holder has already sent the book when this witness reads both
    // changes.
    foldWitnessChange(listener, SELF, OTHER);
    foldWitnessChange(listener, OTHER, SELF);
    book.fence(GRANT);
    const reclaim = book.reclaim(GRANT, SELF);
    expect(reclaim?.openReservations.map(({requestId}) => requestId)).toEqual([
      'r1',
    ]);
  });
});

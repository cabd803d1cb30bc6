import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {LedgerBatchSchema, LedgerEntrySchema} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {LedgerFold} from '../ledger-fold.js';
import {RefusalReason, VerdictKind} from '../verdict.js';

type EntryKind = NonNullable<
  MessageInitShape<typeof LedgerEntrySchema>['kind']
>;

/** Appends one entry a record, in order, and folds it. */
class Log {
  readonly fold = new LedgerFold();
  private offset = 0;

  add(writer: string, entryId: string, kind: EntryKind) {
    const entry = create(LedgerEntrySchema, {
      entryId,
      organisation: 'org',
      kind,
    });
    const batch = create(LedgerBatchSchema, {writer, entries: [entry]});
    return this.fold.applyBatch(this.offset++, batch)[0];
  }

  topUp(tokens: number, entryId = 'opening') {
    return this.add('operator', entryId, {case: 'topUp', value: {tokens}});
  }

  grant(grantId: string, tokens: number, holder = 'h', witness = 'w') {
    return this.add(holder, `grant:${grantId}`, {
      case: 'grant',
      value: {grantId, tokens, minimumTokens: 1, holder, witness},
    });
  }

  bill(requestId: string, grantId: string, tokens: number) {
    return this.add('h', `bill:${requestId}`, {
      case: 'bill',
      value: {requestId, grantId, tokens, confirmed: true},
    });
  }

  /** Unallocated, billed and what open grants have left. */
  totals() {
    const {unallocatedTokens, billedTokens} = this.fold.totals('org');
    const held = this.fold
      .grants('org')
      .reduce((sum, grant) => sum + grant.tokens - grant.billedTokens, 0);
    return [unallocatedTokens, held, billedTokens];
  }
}

describe('LedgerFold', () => {
  it('gives what remains, and refuses what does not', () => {
    const log = new Log();
    log.topUp(100);
    expect(log.topUp(100)?.kind).toBe(VerdictKind.Duplicate);
    log.grant('g1', 70);
    log.grant('g2', 70);
    expect(log.fold.grant('org', 'g2')?.tokens).toBe(30);
    expect(log.grant('g3', 1)?.reason).toBe(RefusalReason.BudgetTooSmall);
    expect(log.topUp(1.5, 'half')?.reason).toBe(RefusalReason.InvalidAmount);
  });

  it('bills a request once, whatever repeats', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g1', 50);
    log.bill('r1', 'g1', 10);
    expect(log.bill('r1', 'g1', 10)?.kind).toBe(VerdictKind.Duplicate);
    expect(log.bill('r2', 'g1', 41)?.reason).toBe(RefusalReason.GrantTooSmall);
    expect(log.totals()).toEqual([50, 40, 10]);
  });

  it('takes a chain of transfers whose records arrive backwards', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('a', 60);
    log.bill('r1', 'c', 5);
    log.add('x', 'c', {
      case: 'transfer',
      value: {transferId: 'c', fromGrant: 'b', tokens: 10, toHolder: 'hc'},
    });
    log.add('x', 'b', {
      case: 'transfer',
      value: {transferId: 'b', fromGrant: 'a', tokens: 30, toHolder: 'hb'},
    });
    expect(
      log.fold.grants('org').map(grant => [grant.grantId, grant.tokens]),
    ).toEqual([
      ['a', 30],
      ['c', 10],
      ['b', 20],
    ]);
    expect(log.totals()).toEqual([40, 55, 5]);
  });

  // The holder is lost with one request open, one settled but not billed, and
  // wakes after the reclaim: its bills arrive late, its return arrives late. The
  // caller sees nothing; the books must count each token once.
  it('counts late records of a lost holder only against what was inherited', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g', 80);
    const reclaim = {
      grantId: 'g',
      witness: 'w',
      openReservations: [{requestId: 'open', boundTokens: 20}],
      settled: [{requestId: 'settled', grantId: 'g', tokens: 7}],
    };
    expect(
      log.add('other', 'early', {case: 'reclaim', value: reclaim})?.reason,
    ).toBe(RefusalReason.NotWitness);
    log.add('w', 'reclaim', {case: 'reclaim', value: reclaim});
    expect(log.totals()).toEqual([73, 20, 7]);

    expect(log.bill('settled', 'g', 7)?.kind).toBe(VerdictKind.Duplicate);
    expect(log.bill('new', 'g', 1)?.reason).toBe(RefusalReason.NotInherited);
    const late = {grantId: 'g', tokens: 5, closes: false};
    expect(log.add('h', 'late', {case: 'return', value: late})?.reason).toBe(
      RefusalReason.GrantClosed,
    );
    log.bill('open', 'g', 12);
    expect(log.totals()).toEqual([81, 0, 19]);
    expect(
      log.add('w', 'again', {case: 'reclaim', value: reclaim})?.reason,
    ).toBe(RefusalReason.GrantClosed);
  });

  it('frees what a closed grant keeps for a request that another grant billed', () => {
    // Guards against tokens that stay reserved for ever under a reclaimed grant.
    const log = new Log();
    log.topUp(100);
    log.grant('lost', 40);
    log.grant('other', 40);
    const reclaim = {
      grantId: 'lost',
      witness: 'w',
      openReservations: [
        {requestId: 'twice', boundTokens: 20},
        {requestId: 'once', boundTokens: 5},
      ],
    };
    log.add('w', 'reclaim', {case: 'reclaim', value: reclaim});
    expect(log.totals()).toEqual([35, 65, 0]);
    log.bill('twice', 'other', 12);
    expect(log.totals()).toEqual([55, 33, 12]);
    expect(log.bill('twice', 'lost', 20)?.kind).toBe(VerdictKind.Duplicate);
    log.bill('once', 'lost', 5);
    expect(log.totals()).toEqual([55, 28, 17]);
  });

  it('lets log order decide between a change of witness and a reclaim', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g', 80);
    const change = {grantId: 'g', from: 'w', to: 'v'};
    log.add('h', 'change', {case: 'witnessChange', value: change});
    const reclaim = {grantId: 'g', witness: 'w'};
    expect(
      log.add('w', 'reclaim', {case: 'reclaim', value: reclaim})?.reason,
    ).toBe(RefusalReason.NotWitness);
  });

  it('gives a claim to the first in log order', () => {
    const log = new Log();
    const claim = {requestId: 'r', claimant: 'router-1', attemptId: 'r.1'};
    log.add('k1', 'c1', {case: 'claim', value: claim});
    expect(log.add('k1', 'c1', {case: 'claim', value: claim})?.kind).toBe(
      VerdictKind.Duplicate,
    );
    const second = {...claim, claimant: 'router-2'};
    expect(log.add('k2', 'c2', {case: 'claim', value: second})?.reason).toBe(
      RefusalReason.ClaimLost,
    );
  });

  it('starts from a checkpoint, but not from one with a wrong digest', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g', 80);
    const checkpoint = log.fold.toCheckpoint();
    expect(LedgerFold.fromCheckpoint(checkpoint)?.toCheckpoint()).toEqual(
      checkpoint,
    );
    const wrong = {...checkpoint, digest: checkpoint.digest.replace(/./, 'x')};
    expect(LedgerFold.fromCheckpoint(wrong)).toBeUndefined();
  });
});

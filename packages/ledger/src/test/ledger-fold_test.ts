import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {LedgerBatchSchema, LedgerEntrySchema} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {LedgerFold} from '../ledger-fold.js';
import {RefusalReason, VerdictKind} from '../verdict.js';

type EntryKind = NonNullable<
  MessageInitShape<typeof LedgerEntrySchema>['kind']
>;

/** A log that appends each entry as its own record and folds it. */
class Log {
  readonly fold = new LedgerFold();
  private offset = 0;

  append(writer: string, entryId: string, kind: EntryKind) {
    const entry = create(LedgerEntrySchema, {
      entryId,
      organisation: 'org',
      kind,
    });
    const batch = create(LedgerBatchSchema, {writer, entries: [entry]});
    return this.fold.applyBatch(this.offset++, batch)[0];
  }

  topUp(tokens: number, entryId = 'opening') {
    return this.append('operator', entryId, {case: 'topUp', value: {tokens}});
  }

  grant(grantId: string, tokens: number, holder = 'h', witness = 'w') {
    return this.append(holder, `grant:${grantId}`, {
      case: 'grant',
      value: {grantId, tokens, minimumTokens: 1, holder, witness},
    });
  }

  bill(requestId: string, grantId: string, tokens: number) {
    return this.append('h', `bill:${requestId}`, {
      case: 'bill',
      value: {requestId, grantId, tokens, confirmed: true},
    });
  }

  /** Unallocated tokens, unbilled tokens of all grants, and billed tokens. */
  totals() {
    const {unallocatedTokens, billedTokens} = this.fold.totals('org');
    const heldTokens = this.fold
      .grants('org')
      .reduce((sum, grant) => sum + grant.tokens - grant.billedTokens, 0);
    return [unallocatedTokens, heldTokens, billedTokens];
  }
}

describe('LedgerFold', () => {
  it('grants the remaining tokens and refuses requests beyond them', () => {
    const log = new Log();
    log.topUp(100);
    expect(log.topUp(100)?.kind).toBe(VerdictKind.Duplicate);
    log.grant('g1', 70);
    log.grant('g2', 70);
    expect(log.fold.grant('org', 'g2')?.tokens).toBe(30);
    expect(log.grant('g3', 1)?.reason).toBe(RefusalReason.BudgetTooSmall);
    expect(log.topUp(1.5, 'half')?.reason).toBe(RefusalReason.InvalidAmount);
  });

  it('bills a request once if its bill is repeated', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g1', 50);
    log.bill('r1', 'g1', 10);
    expect(log.bill('r1', 'g1', 10)?.kind).toBe(VerdictKind.Duplicate);
    expect(log.bill('r2', 'g1', 41)?.reason).toBe(RefusalReason.GrantTooSmall);
    expect(log.totals()).toEqual([50, 40, 10]);
  });

  it('accepts a chain of transfers whose records arrive in reverse order', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('a', 60);
    log.bill('r1', 'c', 5);
    log.append('x', 'c', {
      case: 'transfer',
      value: {transferId: 'c', fromGrant: 'b', tokens: 10, toHolder: 'hc'},
    });
    log.append('x', 'b', {
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

  // Guards against counting tokens twice when a lost holder resumes after the
  // reclaim. It had one open request and one settled but unbilled request, and
  // its bills and its return arrive late. The caller notices nothing of this.
  it('counts late records of a lost holder only against inherited reservations', () => {
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
      log.append('other', 'early', {case: 'reclaim', value: reclaim})?.reason,
    ).toBe(RefusalReason.NotWitness);
    log.append('w', 'reclaim', {case: 'reclaim', value: reclaim});
    expect(log.totals()).toEqual([73, 20, 7]);

    expect(log.bill('settled', 'g', 7)?.kind).toBe(VerdictKind.Duplicate);
    expect(log.bill('new', 'g', 1)?.reason).toBe(RefusalReason.NotInherited);
    const late = {grantId: 'g', tokens: 5, closes: false};
    expect(log.append('h', 'late', {case: 'return', value: late})?.reason).toBe(
      RefusalReason.GrantClosed,
    );
    log.bill('open', 'g', 12);
    expect(log.totals()).toEqual([81, 0, 19]);
    expect(
      log.append('w', 'again', {case: 'reclaim', value: reclaim})?.reason,
    ).toBe(RefusalReason.GrantClosed);
  });

  it('releases the reservation of a closed grant for a request billed under another grant', () => {
    // Guards against tokens that stay reserved permanently under a reclaimed
    // grant.
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
    log.append('w', 'reclaim', {case: 'reclaim', value: reclaim});
    expect(log.totals()).toEqual([35, 65, 0]);
    log.bill('twice', 'other', 12);
    expect(log.totals()).toEqual([55, 33, 12]);
    expect(log.bill('twice', 'lost', 20)?.kind).toBe(VerdictKind.Duplicate);
    log.bill('once', 'lost', 5);
    expect(log.totals()).toEqual([55, 28, 17]);
  });

  it('decides between a witness change and a reclaim by log order', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g', 80);
    const change = {grantId: 'g', from: 'w', to: 'v'};
    log.append('h', 'change', {case: 'witnessChange', value: change});
    const reclaim = {grantId: 'g', witness: 'w'};
    expect(
      log.append('w', 'reclaim', {case: 'reclaim', value: reclaim})?.reason,
    ).toBe(RefusalReason.NotWitness);
  });

  // Guards against a nomination that takes effect a second time, after the
  // holder has changed to another witness.
  it('counts a change of witness once if both its holder and its nominee append it', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g', 80);
    const value = {grantId: 'g', from: 'w', to: 'n'};
    const change = {case: 'witnessChange' as const, value};
    expect(log.append('n', 'change', change)?.kind).toBe(VerdictKind.Accepted);
    expect(log.append('h', 'change', change)?.kind).toBe(VerdictKind.Duplicate);
    expect(log.fold.grant('org', 'g')?.witness).toBe('n');
    log.append('h', 'back', {
      case: 'witnessChange',
      value: {grantId: 'g', from: 'n', to: 'w'},
    });
    expect(log.append('n', 'change', change)?.kind).toBe(VerdictKind.Duplicate);
    expect(log.fold.grant('org', 'g')?.witness).toBe('w');
  });

  // Guards against a nomination of long ago, whose identifier the log has
  // forgotten, and a former nominee that reclaims what the holder spends.
  it('refuses a change of witness that is not the next one of its grant', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g', 80);
    const changes = [
      {writer: 'h', from: 'w', to: 'n', changeNumber: 1},
      {writer: 'h', from: 'n', to: 'w', changeNumber: 2},
      {writer: 'n', from: 'w', to: 'n', changeNumber: 1},
    ];
    const reasons = changes.map(
      ({writer, ...change}, index) =>
        log.append(writer, `change-${index}`, {
          case: 'witnessChange',
          value: {grantId: 'g', ...change},
        })?.reason,
    );
    expect(reasons).toEqual([
      RefusalReason.None,
      RefusalReason.None,
      RefusalReason.NotWitness,
    ]);
    expect(log.fold.grant('org', 'g')?.witness).toBe('w');
  });

  // Guards against a keeper that appoints another one, or removes the witness.
  it('refuses a change of witness from a keeper that neither holds the grant nor is named by it', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g', 80);
    for (const to of ['n', '']) {
      const value = {grantId: 'g', from: 'w', to};
      for (const writer of ['w', 'other']) {
        expect(
          log.append(writer, `${writer}:${to}`, {case: 'witnessChange', value})
            ?.reason,
        ).toBe(RefusalReason.NotHolder);
      }
    }
    expect(log.fold.grant('org', 'g')?.witness).toBe('w');
  });

  // Guards against releasing the tokens of a request that runs: one of another
  // begin, of another router, or whose grant is open.
  it('releases an inherited reservation once, for its router and begin, and only of a closed grant', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g', 80);
    const reservation = {
      requestId: 'r',
      boundTokens: 20,
      router: 'router',
      beginNumber: 2,
    };
    const value = {
      grantId: 'g',
      requestId: 'r',
      router: 'router',
      beginNumber: 2,
    };
    const release = (entryId: string, changed = {}) =>
      log.append('k', entryId, {
        case: 'inheritedRelease',
        value: {...value, ...changed},
      })?.reason;
    log.append('h', 'ahead', {
      case: 'writeAhead',
      value: {grantId: 'g', reservation},
    });
    expect(release('open')).toBe(RefusalReason.NotInherited);
    expect(log.totals()).toEqual([20, 80, 0]);
    log.append('w', 'reclaim', {
      case: 'reclaim',
      value: {grantId: 'g', witness: 'w', openReservations: [reservation]},
    });
    for (const [name, changed] of Object.entries({
      begin: {beginNumber: 1},
      router: {router: 'other'},
      request: {requestId: 'other'},
    })) {
      expect(release(name, changed)).toBe(RefusalReason.NotInherited);
    }
    expect(release('grant', {grantId: 'other'})).toBe(
      RefusalReason.UnknownGrant,
    );
    expect(log.totals()).toEqual([80, 20, 0]);
    expect(release('closed')).toBe(RefusalReason.None);
    expect(log.totals()).toEqual([100, 0, 0]);
    expect(release('again')).toBe(RefusalReason.NotInherited);
    expect(log.bill('r', 'g', 5)?.reason).toBe(RefusalReason.NotInherited);
    expect(log.totals()).toEqual([100, 0, 0]);
  });

  // Guards against releasing reservations that no router can have reported: a
  // begin without a number or router, as after a takeover by another router.
  it('keeps an inherited reservation that has no router or no begin number', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g', 80);
    const openReservations = [
      {requestId: 'taken-over', boundTokens: 20, router: 'router'},
      {requestId: 'unknown-router', boundTokens: 5, beginNumber: 1},
    ];
    log.append('w', 'reclaim', {
      case: 'reclaim',
      value: {grantId: 'g', witness: 'w', openReservations},
    });
    for (const {requestId, router = '', beginNumber = 0} of openReservations) {
      expect(
        log.append('k', requestId, {
          case: 'inheritedRelease',
          value: {grantId: 'g', requestId, router, beginNumber},
        })?.reason,
      ).toBe(RefusalReason.NotInherited);
    }
    expect(log.totals()).toEqual([75, 25, 0]);
  });

  // Guards against crediting tokens twice if a request that was reported as not
  // run has a bill all the same.
  it('refuses the release of an inherited reservation whose bill came first', () => {
    const log = new Log();
    log.topUp(100);
    log.grant('g', 80);
    const open = {requestId: 'r', router: 'router', beginNumber: 1};
    log.append('w', 'reclaim', {
      case: 'reclaim',
      value: {
        grantId: 'g',
        witness: 'w',
        openReservations: [{...open, boundTokens: 20}],
      },
    });
    log.bill('r', 'g', 12);
    expect(
      log.append('k', 'release', {
        case: 'inheritedRelease',
        value: {grantId: 'g', ...open},
      })?.reason,
    ).toBe(RefusalReason.NotInherited);
    expect(log.totals()).toEqual([88, 0, 12]);
  });

  it('accepts the first claim in log order', () => {
    const log = new Log();
    const claim = {requestId: 'r', claimant: 'router-1', attemptId: 'r.1'};
    log.append('k1', 'c1', {case: 'claim', value: claim});
    expect(log.append('k1', 'c1', {case: 'claim', value: claim})?.kind).toBe(
      VerdictKind.Duplicate,
    );
    const second = {...claim, claimant: 'router-2'};
    expect(log.append('k2', 'c2', {case: 'claim', value: second})?.reason).toBe(
      RefusalReason.ClaimLost,
    );
  });

  it('restores a checkpoint unless its digest is wrong', () => {
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

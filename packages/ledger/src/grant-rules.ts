import {create} from '@bufbuild/protobuf';
import {
  GrantStateSchema,
  type Grant,
  type Return,
  type StrandedRelease,
  type TopUp,
  type Transfer,
  type WitnessChange,
} from '@wisteriadeal/schema';

import {heldGrant, openGrant} from './open-grant.js';
import {spareTokens, type OrganisationBooks} from './organisation-books.js';
import {isTokenAmount} from './tokens.js';
import {RefusalReason, VerdictKind, type Ruling} from './verdict.js';

/** Credits the budget. */
export function applyTopUp(books: OrganisationBooks, topUp: TopUp): Ruling {
  if (
    !isTokenAmount(topUp.tokens) ||
    !isTokenAmount(books.creditedTokens + topUp.tokens)
  ) {
    return RefusalReason.InvalidAmount;
  }
  books.creditedTokens += topUp.tokens;
  books.unallocatedTokens += topUp.tokens;
  return RefusalReason.None;
}

/**
 * Moves tokens to a holder. What remains is given where less than asked for is
 * left, so that the last tokens of a budget can still be granted.
 */
export function applyGrant(books: OrganisationBooks, grant: Grant): Ruling {
  if (!isTokenAmount(grant.tokens) || !isTokenAmount(grant.minimumTokens)) {
    return RefusalReason.InvalidAmount;
  }
  if (grant.grantId === '' || grant.holder === '') {
    return RefusalReason.InvalidEntry;
  }
  if (books.grants.has(grant.grantId)) {
    return VerdictKind.Duplicate;
  }
  const tokens = Math.min(grant.tokens, books.unallocatedTokens);
  if (tokens === 0 || tokens < grant.minimumTokens) {
    return RefusalReason.BudgetTooSmall;
  }
  books.unallocatedTokens -= tokens;
  books.grants.set(
    grant.grantId,
    create(GrantStateSchema, {
      grantId: grant.grantId,
      holder: grant.holder,
      witness: grant.witness,
      dataCenter: grant.dataCenter,
      tokens,
    }),
  );
  return RefusalReason.None;
}

/**
 * Changes the witness. Naming the old one makes this and a reclaim by the old
 * witness exclude one another: whichever stands first on the log wins.
 */
export function applyWitnessChange(
  books: OrganisationBooks,
  change: WitnessChange,
  writer: string,
): Ruling {
  const grant = heldGrant(books, change.grantId, writer);
  if (typeof grant === 'string') {
    return grant;
  }
  if (grant.witness !== change.from) {
    return RefusalReason.NotWitness;
  }
  grant.witness = change.to;
  return RefusalReason.None;
}

/** Gives tokens back to the unallocated budget. */
export function applyReturn(
  books: OrganisationBooks,
  giving: Return,
  writer: string,
  offset: number,
): Ruling {
  if (!isTokenAmount(giving.tokens)) {
    return RefusalReason.InvalidAmount;
  }
  // Refused after a reclaim: what the holder had returned has come back with it.
  const grant = heldGrant(books, giving.grantId, writer);
  if (typeof grant === 'string') {
    return grant;
  }
  if (spareTokens(grant) < giving.tokens) {
    return RefusalReason.GrantTooSmall;
  }
  grant.tokens -= giving.tokens;
  books.unallocatedTokens += giving.tokens;
  if (giving.closes) {
    grant.inherited = [];
    books.close(grant, offset);
  }
  return RefusalReason.None;
}

/**
 * Moves tokens to another holder's grant. A grant that a reclaim closed has
 * nothing to spare, so a transfer that the witness never acknowledged is refused
 * here; one that it did acknowledge is applied by the reclaim itself.
 */
export function applyTransfer(
  books: OrganisationBooks,
  transfer: Transfer,
): Ruling {
  if (!isTokenAmount(transfer.tokens)) {
    return RefusalReason.InvalidAmount;
  }
  if (transfer.transferId === '' || transfer.toHolder === '') {
    return RefusalReason.InvalidEntry;
  }
  const known = books.grants.get(transfer.transferId);
  if (known !== undefined && !known.announcedByBill) {
    return VerdictKind.Duplicate;
  }
  const source =
    books.grants.get(transfer.fromGrant) ?? books.announce(transfer.fromGrant);
  // A source that is itself announced gets its tokens by a record to come: in a
  // chain of transfers, the records may arrive in any order.
  if (!source.announcedByBill && spareTokens(source) < transfer.tokens) {
    return RefusalReason.GrantTooSmall;
  }
  source.tokens -= transfer.tokens;
  books.grants.set(
    transfer.transferId,
    create(GrantStateSchema, {
      grantId: transfer.transferId,
      holder: transfer.toHolder,
      witness: transfer.toWitness,
      dataCenter: transfer.toDataCenter,
      tokens: transfer.tokens + (known?.tokens ?? 0),
      billedTokens: known?.billedTokens ?? 0,
    }),
  );
  return RefusalReason.None;
}

/**
 * Releases what an open grant has left, on an operator's word that its host is
 * gone. Reservations written ahead are kept back, so that their bills still
 * count; late bills of others are refused.
 */
export function applyStrandedRelease(
  books: OrganisationBooks,
  release: StrandedRelease,
  offset: number,
): Ruling {
  const grant = openGrant(books, release.grantId);
  if (typeof grant === 'string') {
    return grant;
  }
  books.close(grant, offset);
  const released = Math.max(0, spareTokens(grant));
  grant.tokens -= released;
  books.unallocatedTokens += released;
  return RefusalReason.None;
}

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

import {findOpenGrant, findOpenGrantOfHolder} from './find-open-grant.js';
import {spareTokens, type OrganisationBooks} from './organisation-books.js';
import {isTokenAmount} from './tokens.js';
import {RefusalReason, VerdictKind, type EntryOutcome} from './verdict.js';

/** Credits tokens to the budget of an organisation. */
export function applyTopUp(
  books: OrganisationBooks,
  topUp: TopUp,
): EntryOutcome {
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
 * Moves unallocated tokens into a new grant. If fewer tokens are left than
 * requested, but at least the requested minimum, all of them are granted, so
 * that the end of a budget can be used.
 */
export function applyGrant(
  books: OrganisationBooks,
  grant: Grant,
): EntryOutcome {
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
 * Changes the witness of a grant. The record names the previous witness, so
 * that this change and a reclaim by that witness are mutually exclusive: the
 * first in log order takes effect and the other is refused.
 *
 * The new witness may write the record too, once the holder has nominated it.
 */
export function applyWitnessChange(
  books: OrganisationBooks,
  change: WitnessChange,
  writer: string,
): EntryOutcome {
  const grant = findOpenGrant(books, change.grantId);
  if (typeof grant === 'string') {
    return grant;
  }
  if (grant.holder !== writer && (change.to === '' || change.to !== writer)) {
    return RefusalReason.NotHolder;
  }
  const isNext =
    change.changeNumber === 0 ||
    change.changeNumber === grant.witnessChanges + 1;
  if (grant.witness !== change.from || !isNext) {
    return RefusalReason.NotWitness;
  }
  grant.witness = change.to;
  grant.witnessChanges += 1;
  return RefusalReason.None;
}

/** Returns tokens of a grant to the unallocated budget. */
export function applyReturn(
  books: OrganisationBooks,
  grantReturn: Return,
  writer: string,
  offset: number,
): EntryOutcome {
  if (!isTokenAmount(grantReturn.tokens)) {
    return RefusalReason.InvalidAmount;
  }
  // A return that follows a reclaim is refused: the reclaim has already made
  // these tokens unallocated.
  const grant = findOpenGrantOfHolder(books, grantReturn.grantId, writer);
  if (typeof grant === 'string') {
    return grant;
  }
  if (spareTokens(grant) < grantReturn.tokens) {
    return RefusalReason.GrantTooSmall;
  }
  grant.tokens -= grantReturn.tokens;
  books.unallocatedTokens += grantReturn.tokens;
  if (grantReturn.closes) {
    grant.inherited = [];
    books.close(grant, offset);
  }
  return RefusalReason.None;
}

/**
 * Moves tokens to a new grant of another holder. A grant closed by a reclaim
 * has no spare tokens, so a transfer that the witness did not acknowledge is
 * refused here. An acknowledged transfer is applied by the reclaim itself.
 */
export function applyTransfer(
  books: OrganisationBooks,
  transfer: Transfer,
): EntryOutcome {
  if (!isTokenAmount(transfer.tokens)) {
    return RefusalReason.InvalidAmount;
  }
  if (transfer.transferId === '' || transfer.toHolder === '') {
    return RefusalReason.InvalidEntry;
  }
  const existing = books.grants.get(transfer.transferId);
  if (existing !== undefined && !existing.announcedByBill) {
    return VerdictKind.Duplicate;
  }
  const source =
    books.grants.get(transfer.fromGrant) ??
    books.addAnnouncedGrant(transfer.fromGrant);
  // The records of a chain of transfers may arrive in any order, so an
  // announced source receives its tokens from a later record and may be
  // overdrawn until then.
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
      tokens: transfer.tokens + (existing?.tokens ?? 0),
      billedTokens: existing?.billedTokens ?? 0,
    }),
  );
  return RefusalReason.None;
}

/**
 * Closes a grant whose host an operator has declared lost, and makes its spare
 * tokens unallocated. Reservations recorded by a write-ahead stay reserved, so
 * that their late bills count; late bills of other requests are refused.
 */
export function applyStrandedRelease(
  books: OrganisationBooks,
  release: StrandedRelease,
  offset: number,
): EntryOutcome {
  const grant = findOpenGrant(books, release.grantId);
  if (typeof grant === 'string') {
    return grant;
  }
  books.close(grant, offset);
  const released = Math.max(0, spareTokens(grant));
  grant.tokens -= released;
  books.unallocatedTokens += released;
  return RefusalReason.None;
}

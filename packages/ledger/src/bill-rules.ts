import {clone, create} from '@bufbuild/protobuf';
import {
  ClaimStateSchema,
  OpenReservationSchema,
  type Bill,
  type Claim,
  type GrantState,
  type Reclaim,
  type WriteAhead,
} from '@wisteriadeal/schema';

import {applyTransfer} from './grant-rules.js';
import {heldGrant, openGrant} from './open-grant.js';
import {spareTokens, type OrganisationBooks} from './organisation-books.js';
import {isTokenAmount} from './tokens.js';
import {RefusalReason, VerdictKind, type Ruling} from './verdict.js';

/**
 * Bills a request; the first bill of a request identifier counts.
 *
 * A bill can reach the log before the record of the transfer that made its
 * grant, when the transfer happened in a partition: the grant is then kept as
 * announced. Even so, no sum of bills passes what was credited.
 */
export function applyBill(
  books: OrganisationBooks,
  bill: Bill,
  offset: number,
): Ruling {
  if (!isTokenAmount(bill.tokens)) {
    return RefusalReason.InvalidAmount;
  }
  if (bill.requestId === '' || bill.grantId === '') {
    return RefusalReason.InvalidEntry;
  }
  if (books.billedRequests.has(bill.requestId)) {
    return VerdictKind.Duplicate;
  }
  if (books.billedTokens + bill.tokens > books.creditedTokens) {
    return RefusalReason.GrantTooSmall;
  }
  const grant = books.grants.get(bill.grantId) ?? books.announce(bill.grantId);
  return charge(books, grant, bill, offset);
}

function charge(
  books: OrganisationBooks,
  grant: GrantState,
  bill: Bill,
  offset: number,
): Ruling {
  const inherited = grant.inherited.find(
    open => open.requestId === bill.requestId,
  );
  if (inherited === undefined && grant.closed) {
    return RefusalReason.NotInherited;
  }
  const limit =
    inherited !== undefined && grant.closed
      ? Math.min(inherited.boundTokens, grant.tokens - grant.billedTokens)
      : spareTokens(grant);
  if (!grant.announcedByBill && bill.tokens > limit) {
    return RefusalReason.GrantTooSmall;
  }
  grant.inherited = grant.inherited.filter(open => open !== inherited);
  grant.billedTokens += bill.tokens;
  books.billedTokens += bill.tokens;
  books.billedRequests.add(bill.requestId, offset);
  if (inherited !== undefined && grant.closed) {
    const unused = inherited.boundTokens - bill.tokens;
    grant.tokens -= unused;
    books.unallocatedTokens += unused;
  }
  releaseInherited(books, bill.requestId);
  return RefusalReason.None;
}

/**
 * Load: a request runs under the grants of two holders, one of which was taken for
 * lost. The first bill counts; the other holder's book would take its tokens back, but
 * a closed grant has no book any more. Harm: they would be reserved for ever.
 */
function releaseInherited(books: OrganisationBooks, requestId: string): void {
  for (const grant of books.grants.values()) {
    const open = grant.closed
      ? grant.inherited.find(inherited => inherited.requestId === requestId)
      : undefined;
    if (open !== undefined) {
      grant.inherited = grant.inherited.filter(inherited => inherited !== open);
      grant.tokens -= open.boundTokens;
      books.unallocatedTokens += open.boundTokens;
    }
  }
}

/** Settles who runs a non-idempotent request: the first in log order. */
export function applyClaim(
  books: OrganisationBooks,
  claim: Claim,
  offset: number,
): Ruling {
  const winner = books.claims.get(claim.requestId);
  if (winner === undefined) {
    books.claims.set(
      claim.requestId,
      create(ClaimStateSchema, {
        requestId: claim.requestId,
        fingerprint: claim.fingerprint,
        claimant: claim.claimant,
        attemptId: claim.attemptId,
        offset,
      }),
    );
    return RefusalReason.None;
  }
  return winner.claimant === claim.claimant &&
    winner.attemptId === claim.attemptId
    ? VerdictKind.Duplicate
    : RefusalReason.ClaimLost;
}

/** Notes a lone host's reservation, so that a stranded release keeps it back. */
export function applyWriteAhead(
  books: OrganisationBooks,
  ahead: WriteAhead,
  writer: string,
): Ruling {
  const reservation = ahead.reservation;
  if (reservation === undefined || !isTokenAmount(reservation.boundTokens)) {
    return RefusalReason.InvalidAmount;
  }
  const grant = heldGrant(books, ahead.grantId, writer);
  if (typeof grant === 'string') {
    return grant;
  }
  // The holder's book is the authority on the sum: requests that were released
  // again before dispatch stay listed here until the grant closes.
  if (reservation.boundTokens > spareTokens(grant)) {
    return RefusalReason.GrantTooSmall;
  }
  grant.inherited = grant.inherited.filter(
    open => open.requestId !== reservation.requestId,
  );
  if (!books.billedRequests.has(reservation.requestId)) {
    grant.inherited.push(clone(OpenReservationSchema, reservation));
  }
  return RefusalReason.None;
}

/**
 * Takes back a lost holder's grant. The witness lists everything that it had
 * acknowledged and that may not be on the log yet: transfers and bills are
 * applied now (their own records then count as duplicates, whether they stand
 * before or after), open reservations stay reserved, and the rest returns. What
 * the holder had returned needs no account: a return that was folded has left
 * the grant, and one still to come is refused, its tokens being in the rest.
 */
export function applyReclaim(
  books: OrganisationBooks,
  reclaim: Reclaim,
  writer: string,
  offset: number,
): Ruling {
  const grant = openGrant(books, reclaim.grantId);
  if (typeof grant === 'string') {
    return grant;
  }
  if (grant.witness !== reclaim.witness || writer !== reclaim.witness) {
    return RefusalReason.NotWitness;
  }
  const amounts = [
    ...reclaim.openReservations.map(open => open.boundTokens),
    ...reclaim.settled.map(bill => bill.tokens),
    ...reclaim.transfers.map(transfer => transfer.tokens),
  ];
  if (!amounts.every(isTokenAmount)) {
    return RefusalReason.InvalidAmount;
  }
  for (const transfer of reclaim.transfers) {
    applyTransfer(books, transfer);
  }
  for (const bill of reclaim.settled) {
    applyBill(books, bill, offset);
  }
  grant.inherited = reclaim.openReservations
    .filter(open => !books.billedRequests.has(open.requestId))
    .map(open => clone(OpenReservationSchema, open));
  books.close(grant, offset);
  const rest = Math.max(0, spareTokens(grant));
  grant.tokens -= rest;
  books.unallocatedTokens += rest;
  return RefusalReason.None;
}

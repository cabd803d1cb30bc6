import {clone, create} from '@bufbuild/protobuf';
import {
  ClaimStateSchema,
  OpenReservationSchema,
  type Bill,
  type Claim,
  type GrantState,
  type InheritedRelease,
  type InheritedTakeover,
  type OpenReservation,
  type Reclaim,
  type WriteAhead,
} from '@wisteriadeal/schema';

import {applyTransfer} from './grant-rules.js';
import {findOpenGrant, findOpenGrantOfHolder} from './find-open-grant.js';
import {spareTokens, type OrganisationBooks} from './organisation-books.js';
import {isTokenAmount} from './tokens.js';
import {RefusalReason, VerdictKind, type EntryOutcome} from './verdict.js';

/**
 * Bills a request. Only the first bill of a request identifier counts.
 *
 * After a partition, a bill can precede the record of the transfer that created
 * its grant. The grant is then added as announced. In every case the sum of all
 * bills is limited to the credited tokens.
 */
export function applyBill(
  books: OrganisationBooks,
  bill: Bill,
  offset: number,
): EntryOutcome {
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
  const grant =
    books.grants.get(bill.grantId) ?? books.addAnnouncedGrant(bill.grantId);
  return chargeGrant(books, grant, bill, offset);
}

function chargeGrant(
  books: OrganisationBooks,
  grant: GrantState,
  bill: Bill,
  offset: number,
): EntryOutcome {
  const inherited = grant.inherited.find(
    open => open.requestId === bill.requestId,
  );
  if (inherited === undefined && grant.closed) {
    return RefusalReason.NotInherited;
  }
  const billableTokens =
    inherited !== undefined && grant.closed
      ? Math.min(inherited.boundTokens, grant.tokens - grant.billedTokens)
      : spareTokens(grant);
  if (!grant.announcedByBill && bill.tokens > billableTokens) {
    return RefusalReason.GrantTooSmall;
  }
  grant.inherited = grant.inherited.filter(open => open !== inherited);
  grant.billedTokens += bill.tokens;
  books.billedTokens += bill.tokens;
  books.billedRequests.add(bill.requestId, offset);
  if (inherited !== undefined && grant.closed) {
    const unusedTokens = inherited.boundTokens - bill.tokens;
    grant.tokens -= unusedTokens;
    books.unallocatedTokens += unusedTokens;
  }
  releaseInheritedReservations(books, bill.requestId);
  return RefusalReason.None;
}

/**
 * Releases the reservations that closed grants still keep for a billed request.
 *
 * A request can run under the grants of two holders if one of them was declared
 * lost. Only the first bill counts. An active holder frees the tokens of its
 * duplicate bill in its own book, but a closed grant has no holder's book, so
 * without this step its reservation would never be released.
 */
function releaseInheritedReservations(
  books: OrganisationBooks,
  requestId: string,
): void {
  for (const grant of books.grants.values()) {
    const open = grant.closed
      ? grant.inherited.find(inherited => inherited.requestId === requestId)
      : undefined;
    if (open !== undefined) {
      releaseInherited(books, grant, open);
    }
  }
}

function releaseInherited(
  books: OrganisationBooks,
  grant: GrantState,
  open: OpenReservation,
): void {
  grant.inherited = grant.inherited.filter(inherited => inherited !== open);
  grant.tokens -= open.boundTokens;
  books.unallocatedTokens += open.boundTokens;
}

/**
 * Releases the inherited reservation of a request that did not run. A bill of
 * the request that was folded before has removed the reservation; one that
 * follows is refused.
 */
export function applyInheritedRelease(
  books: OrganisationBooks,
  release: InheritedRelease,
): EntryOutcome {
  const {grantId, requestId, router, beginNumber} = release;
  const grant = books.grants.get(grantId);
  if (grant === undefined) {
    return RefusalReason.UnknownGrant;
  }
  const open = findInherited(grant, requestId, router, beginNumber);
  if (open === undefined || beginNumber === 0) {
    return RefusalReason.NotInherited;
  }
  releaseInherited(books, grant, open);
  return RefusalReason.None;
}

/**
 * Assigns an inherited request to the router that resumes it. From then on, the
 * router before it can't report the request as not run.
 */
export function applyInheritedTakeover(
  books: OrganisationBooks,
  takeover: InheritedTakeover,
): EntryOutcome {
  const {grantId, requestId, fromRouter, fromBeginNumber} = takeover;
  const grant = books.grants.get(grantId);
  if (grant === undefined) {
    return RefusalReason.UnknownGrant;
  }
  const open = findInherited(grant, requestId, fromRouter, fromBeginNumber);
  if (open === undefined || takeover.router === '') {
    return RefusalReason.NotInherited;
  }
  open.router = takeover.router;
  open.beginNumber = 0;
  return RefusalReason.None;
}

/** Returns the reservation of a closed grant that a router's begin has made. */
function findInherited(
  grant: GrantState,
  requestId: string,
  router: string,
  beginNumber: number,
): OpenReservation | undefined {
  return grant.closed && router !== ''
    ? grant.inherited.find(
        open =>
          open.requestId === requestId &&
          open.router === router &&
          open.beginNumber === beginNumber,
      )
    : undefined;
}

/**
 * Accepts the first claim in log order on a non-idempotent request; its
 * claimant runs the request.
 */
export function applyClaim(
  books: OrganisationBooks,
  claim: Claim,
  offset: number,
): EntryOutcome {
  const acceptedClaim = books.claims.get(claim.requestId);
  if (acceptedClaim === undefined) {
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
  return acceptedClaim.claimant === claim.claimant &&
    acceptedClaim.attemptId === claim.attemptId
    ? VerdictKind.Duplicate
    : RefusalReason.ClaimLost;
}

/**
 * Records a reservation of a host without a witness, so that a stranded release
 * keeps its tokens reserved.
 */
export function applyWriteAhead(
  books: OrganisationBooks,
  writeAhead: WriteAhead,
  writer: string,
): EntryOutcome {
  const reservation = writeAhead.reservation;
  if (reservation === undefined || !isTokenAmount(reservation.boundTokens)) {
    return RefusalReason.InvalidAmount;
  }
  const grant = findOpenGrantOfHolder(books, writeAhead.grantId, writer);
  if (typeof grant === 'string') {
    return grant;
  }
  // Each reservation is checked on its own. The holder's book limits their sum,
  // since requests released before dispatch stay listed here until the grant
  // closes.
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
 * Closes the grant of a lost holder and reclaims its unused tokens.
 *
 * The witness lists every change that it acknowledged and that may be missing
 * from the log. Transfers and bills are applied here; their own records count
 * as duplicates, whether they precede or follow the reclaim. Open reservations
 * stay reserved, and the remaining tokens become unallocated.
 *
 * Returns need no entry in the reclaim. A return that was folded earlier has
 * already reduced the grant. A later one is refused, since its tokens are part
 * of the remainder.
 */
export function applyReclaim(
  books: OrganisationBooks,
  reclaim: Reclaim,
  writer: string,
  offset: number,
): EntryOutcome {
  const grant = findOpenGrant(books, reclaim.grantId);
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
  const remainingTokens = Math.max(0, spareTokens(grant));
  grant.tokens -= remainingTokens;
  books.unallocatedTokens += remainingTokens;
  return RefusalReason.None;
}

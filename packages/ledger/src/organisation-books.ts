import {clone, create} from '@bufbuild/protobuf';
import {
  ClaimStateSchema,
  GrantStateSchema,
  OrganisationStateSchema,
  type ClaimState,
  type GrantState,
  type OrganisationState,
} from '@wisteriadeal/schema';

import {RecentIdentifiers, REMEMBERED_OFFSETS} from './recent-identifiers.js';

/** Prefix under which the closing of a grant is remembered. */
const CLOSED_PREFIX = 'closed:';

/**
 * Prefix of the identifier of an organisation's opening budget. It is never
 * forgotten: every keeper may append the entry again at any later time, and a
 * second credit would be money from nowhere. There is one an organisation.
 */
const OPENING_PREFIX = 'opening:';

/** The identifier of the entry that credits an opening budget. */
export function openingEntryId(organisation: string): string {
  return OPENING_PREFIX + organisation;
}

/**
 * The state of one organisation. Its tokens add up at every offset:
 * `credited - billed = unallocated + sum over grants of (tokens - billed)`.
 */
export class OrganisationBooks {
  creditedTokens = 0;
  unallocatedTokens = 0;
  billedTokens = 0;
  readonly grants = new Map<string, GrantState>();
  seenEntries = new RecentIdentifiers();
  billedRequests = new RecentIdentifiers();
  readonly claims = new Map<string, ClaimState>();

  constructor(readonly organisation: string) {}

  /** Restores what `toMessage` gave. */
  static from(state: OrganisationState): OrganisationBooks {
    const books = new OrganisationBooks(state.organisation);
    books.creditedTokens = state.creditedTokens;
    books.unallocatedTokens = state.unallocatedTokens;
    books.billedTokens = state.billedTokens;
    books.seenEntries = RecentIdentifiers.from(state.seenEntries);
    books.billedRequests = RecentIdentifiers.from(state.billedRequests);
    for (const grant of state.grants) {
      books.grants.set(grant.grantId, clone(GrantStateSchema, grant));
    }
    for (const claim of state.claims) {
      books.claims.set(claim.requestId, clone(ClaimStateSchema, claim));
    }
    return books;
  }

  /** A copy of the whole state. */
  toMessage(): OrganisationState {
    return create(OrganisationStateSchema, {
      organisation: this.organisation,
      creditedTokens: this.creditedTokens,
      unallocatedTokens: this.unallocatedTokens,
      billedTokens: this.billedTokens,
      grants: [...this.grants.values()].map(grant =>
        clone(GrantStateSchema, grant),
      ),
      seenEntries: this.seenEntries.toMessages(),
      billedRequests: this.billedRequests.toMessages(),
      claims: [...this.claims.values()].map(claim =>
        clone(ClaimStateSchema, claim),
      ),
    });
  }

  /** Keeps a grant that a record names before the transfer that made it. */
  announce(grantId: string): GrantState {
    const grant = create(GrantStateSchema, {grantId, announcedByBill: true});
    this.grants.set(grantId, grant);
    return grant;
  }

  /** Marks a grant as closed; it stays known while late records may name it. */
  close(grant: GrantState, offset: number): void {
    grant.closed = true;
    this.seenEntries.add(CLOSED_PREFIX + grant.grantId, offset);
  }

  /**
   * Forgets what is older than the remembered span. A closed grant is kept as
   * long, since a late bill that names a forgotten grant would be taken for the
   * announcement of a transfer.
   */
  prune(offset: number): void {
    this.billedRequests.prune(offset);
    for (const identifier of this.seenEntries.prune(offset)) {
      if (identifier.startsWith(OPENING_PREFIX)) {
        this.seenEntries.add(identifier, offset);
      } else {
        this.forgetClosedGrant(identifier, offset);
      }
    }
    for (const [requestId, claim] of this.claims) {
      if (claim.offset >= offset - REMEMBERED_OFFSETS) {
        break;
      }
      this.claims.delete(requestId);
    }
  }

  private forgetClosedGrant(identifier: string, offset: number): void {
    if (!identifier.startsWith(CLOSED_PREFIX)) {
      return;
    }
    const grant = this.grants.get(identifier.slice(CLOSED_PREFIX.length));
    if (grant === undefined) {
      return;
    }
    if (spareTokens(grant) === 0 && grant.inherited.length === 0) {
      this.grants.delete(grant.grantId);
    } else {
      this.seenEntries.add(identifier, offset);
    }
  }
}

/** Tokens of a grant that are neither billed nor inherited as reservations. */
export function spareTokens(grant: GrantState): number {
  const inherited = grant.closed
    ? grant.inherited.reduce((sum, open) => sum + open.boundTokens, 0)
    : 0;
  return grant.tokens - grant.billedTokens - inherited;
}

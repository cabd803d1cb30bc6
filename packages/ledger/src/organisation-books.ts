import {clone, create} from '@bufbuild/protobuf';
import {
  ClaimStateSchema,
  GrantStateSchema,
  OrganisationStateSchema,
  type ClaimState,
  type GrantState,
  type OrganisationState,
} from '@wisteriadeal/schema';

import {
  IDENTIFIER_RETENTION_OFFSETS,
  RecentIdentifiers,
} from './recent-identifiers.js';

/** Prefix of the identifiers that record when grants were closed. */
const CLOSED_PREFIX = 'closed:';

/**
 * Prefix of the entry identifier of an opening budget, of which each
 * organisation has one. These identifiers are kept without a limit: any keeper
 * may append the entry again at any later time, which must not credit the
 * budget twice.
 */
const OPENING_PREFIX = 'opening:';

/** Returns the identifier of the entry that credits the opening budget. */
export function openingEntryId(organisation: string): string {
  return OPENING_PREFIX + organisation;
}

/**
 * The state of one organisation. At every offset it satisfies the invariant
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

  /** Restores the state from the result of `toMessage`. */
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

  /** Returns a copy of the whole state. */
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

  /**
   * Adds a grant that a record names before the record of the transfer that
   * created it.
   */
  addAnnouncedGrant(grantId: string): GrantState {
    const grant = create(GrantStateSchema, {grantId, announcedByBill: true});
    this.grants.set(grantId, grant);
    return grant;
  }

  /** Marks a grant as closed. It is kept while late records may name it. */
  close(grant: GrantState, offset: number): void {
    grant.closed = true;
    this.seenEntries.add(CLOSED_PREFIX + grant.grantId, offset);
  }

  /**
   * Removes identifiers, claims and closed grants that are older than the
   * retention window. Closed grants are kept for the whole window, since a late
   * bill that names a removed grant would be taken for one that precedes its
   * transfer.
   */
  prune(offset: number): void {
    this.billedRequests.prune(offset);
    for (const identifier of this.seenEntries.prune(offset)) {
      if (identifier.startsWith(OPENING_PREFIX)) {
        this.seenEntries.add(identifier, offset);
      } else {
        this.removeExpiredClosedGrant(identifier, offset);
      }
    }
    for (const [requestId, claim] of this.claims) {
      if (claim.offset >= offset - IDENTIFIER_RETENTION_OFFSETS) {
        break;
      }
      this.claims.delete(requestId);
    }
  }

  private removeExpiredClosedGrant(identifier: string, offset: number): void {
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

/**
 * Returns the tokens of a grant that are not billed. For a closed grant, its
 * inherited reservations are deducted too.
 */
export function spareTokens(grant: GrantState): number {
  const inherited = grant.closed
    ? grant.inherited.reduce((sum, open) => sum + open.boundTokens, 0)
    : 0;
  return grant.tokens - grant.billedTokens - inherited;
}

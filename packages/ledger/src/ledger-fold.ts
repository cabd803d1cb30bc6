import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
  LedgerBatchSchema,
  LedgerCheckpointSchema,
  LedgerStateSchema,
  type ClaimState,
  type GrantState,
  type LedgerBatch,
  type LedgerCheckpoint,
  type LedgerEntry,
  type LedgerState,
} from '@wisteriadeal/schema';
import {createHash} from 'node:crypto';

import {
  applyBill,
  applyClaim,
  applyInheritedRelease,
  applyInheritedTakeover,
  applyReclaim,
  applyWriteAhead,
} from './bill-rules.js';
import {
  applyGrant,
  applyReturn,
  applyStrandedRelease,
  applyTopUp,
  applyTransfer,
  applyWitnessChange,
} from './grant-rules.js';
import {OrganisationBooks} from './organisation-books.js';
import {
  RefusalReason,
  VerdictKind,
  type EntryVerdict,
  type EntryOutcome,
} from './verdict.js';

/** Token totals of one organisation. */
export interface OrganisationTotals {
  readonly creditedTokens: number;
  readonly unallocatedTokens: number;
  readonly billedTokens: number;
}

/**
 * Returns the SHA-256 digest, in hexadecimal, of a state, as stored in a
 * checkpoint.
 */
export function digestOfState(state: LedgerState): string {
  return createHash('sha256')
    .update(toBinary(LedgerStateSchema, state))
    .digest('hex');
}

/**
 * Folds the records of one ledger stream in offset order. The fold is
 * deterministic: all readers of the same records reach the same state and
 * verdicts.
 *
 * @example
 * ```ts
 * const fold = new LedgerFold();
 * for (const record of page.records) {
 *   for (const verdict of fold.apply(record.offset, record.payload)) {…}
 * }
 * ```
 */
export class LedgerFold {
  private readonly organisations = new Map<string, OrganisationBooks>();

  /** @param firstUnappliedOffset The offset of the first record to apply. */
  constructor(private firstUnappliedOffset = 0) {}

  /**
   * Restores the state of a checkpoint.
   *
   * @returns undefined if the digest does not match the state.
   */
  static fromCheckpoint(checkpoint: LedgerCheckpoint): LedgerFold | undefined {
    const {state, digest, throughOffset} = checkpoint;
    if (state === undefined || digestOfState(state) !== digest) {
      return undefined;
    }
    const fold = new LedgerFold(throughOffset);
    for (const organisation of state.organisations) {
      fold.organisations.set(
        organisation.organisation,
        OrganisationBooks.from(organisation),
      );
    }
    return fold;
  }

  /**
   * Offset of the next record to apply; the state covers all offsets below it.
   */
  get nextOffset(): number {
    return this.firstUnappliedOffset;
  }

  /** Names of all organisations that the folded entries name. */
  get organisationNames(): readonly string[] {
    return [...this.organisations.keys()];
  }

  /**
   * Decodes and applies one record. A record below `nextOffset` has been
   * applied before and is ignored. An undecodable record only advances
   * `nextOffset`, so that a record of another format cannot block all readers.
   *
   * @returns One verdict for each entry, in the order of the entries.
   */
  apply(offset: number, payload: Uint8Array): readonly EntryVerdict[] {
    let batch: LedgerBatch;
    try {
      batch = fromBinary(LedgerBatchSchema, payload);
    } catch {
      batch = create(LedgerBatchSchema);
    }
    return this.applyBatch(offset, batch);
  }

  /** Applies one decoded record; a record below `nextOffset` is ignored. */
  applyBatch(offset: number, batch: LedgerBatch): readonly EntryVerdict[] {
    if (offset < this.firstUnappliedOffset) {
      return [];
    }
    this.firstUnappliedOffset = offset + 1;
    return batch.entries.map(entry =>
      this.applyEntry(offset, batch.writer, entry),
    );
  }

  /** Totals of an organisation; all are 0 if it is unknown. */
  totals(organisation: string): OrganisationTotals {
    const books = this.organisations.get(organisation);
    return {
      creditedTokens: books?.creditedTokens ?? 0,
      unallocatedTokens: books?.unallocatedTokens ?? 0,
      billedTokens: books?.billedTokens ?? 0,
    };
  }

  /** Returns a grant. Callers must not modify it. */
  grant(organisation: string, grantId: string): GrantState | undefined {
    return this.organisations.get(organisation)?.grants.get(grantId);
  }

  /** Returns all grants of an organisation. Callers must not modify them. */
  grants(organisation: string): readonly GrantState[] {
    return [...(this.organisations.get(organisation)?.grants.values() ?? [])];
  }

  /** The accepted claim of a request. */
  claim(organisation: string, requestId: string): ClaimState | undefined {
    return this.organisations.get(organisation)?.claims.get(requestId);
  }

  /** Whether a bill of the request was folded within the retention window. */
  isBilled(organisation: string, requestId: string): boolean {
    return (
      this.organisations.get(organisation)?.billedRequests.has(requestId) ??
      false
    );
  }

  /** Whether the entry identifier was folded within the retention window. */
  hasSeen(organisation: string, entryId: string): boolean {
    return (
      this.organisations.get(organisation)?.seenEntries.has(entryId) ?? false
    );
  }

  /** Returns a checkpoint of the current state. */
  toCheckpoint(): LedgerCheckpoint {
    const state = create(LedgerStateSchema, {
      organisations: [...this.organisations.values()].map(books =>
        books.toMessage(),
      ),
    });
    return create(LedgerCheckpointSchema, {
      throughOffset: this.firstUnappliedOffset,
      state,
      digest: digestOfState(state),
    });
  }

  private applyEntry(
    offset: number,
    writer: string,
    entry: LedgerEntry,
  ): EntryVerdict {
    const outcome = this.applyKind(offset, writer, entry);
    const isDuplicate = outcome === VerdictKind.Duplicate;
    const isAccepted = outcome === RefusalReason.None;
    return {
      entryId: entry.entryId,
      organisation: entry.organisation,
      kind: isDuplicate
        ? VerdictKind.Duplicate
        : isAccepted
          ? VerdictKind.Accepted
          : VerdictKind.Refused,
      reason: isDuplicate ? RefusalReason.None : outcome,
    };
  }

  private applyKind(
    offset: number,
    writer: string,
    entry: LedgerEntry,
  ): EntryOutcome {
    if (entry.kind.case === 'checkpoint') {
      return this.verifyCheckpoint(offset, entry.kind.value);
    }
    if (entry.entryId === '' || entry.organisation === '') {
      return RefusalReason.InvalidEntry;
    }
    const books = this.getOrCreateBooks(entry.organisation);
    books.prune(offset);
    // Bills and claims are deduplicated by request identifier, not by entry
    // identifier.
    if (entry.kind.case === 'bill') {
      return applyBill(books, entry.kind.value, offset);
    }
    if (entry.kind.case === 'claim') {
      return applyClaim(books, entry.kind.value, offset);
    }
    if (books.seenEntries.has(entry.entryId)) {
      return VerdictKind.Duplicate;
    }
    books.seenEntries.add(entry.entryId, offset);
    return applyIdentifiedEntry(books, entry, writer, offset);
  }

  /**
   * Verifies a checkpoint. If it directly follows the records that it covers,
   * its digest must equal that of this reader's state; otherwise only its own
   * state and digest can be compared.
   */
  private verifyCheckpoint(
    offset: number,
    checkpoint: LedgerCheckpoint,
  ): EntryOutcome {
    const {state, digest, throughOffset} = checkpoint;
    const expected =
      throughOffset === offset ? this.toCheckpoint().digest : digest;
    return state !== undefined &&
      throughOffset <= offset &&
      digestOfState(state) === digest &&
      digest === expected
      ? RefusalReason.None
      : RefusalReason.WrongDigest;
  }

  private getOrCreateBooks(organisation: string): OrganisationBooks {
    const existing = this.organisations.get(organisation);
    if (existing !== undefined) {
      return existing;
    }
    const books = new OrganisationBooks(organisation);
    this.organisations.set(organisation, books);
    return books;
  }
}

function applyIdentifiedEntry(
  books: OrganisationBooks,
  entry: LedgerEntry,
  writer: string,
  offset: number,
): EntryOutcome {
  switch (entry.kind.case) {
    case 'topUp':
      return applyTopUp(books, entry.kind.value);
    case 'grant':
      return applyGrant(books, entry.kind.value);
    case 'witnessChange':
      return applyWitnessChange(books, entry.kind.value, writer);
    case 'return':
      return applyReturn(books, entry.kind.value, writer, offset);
    case 'transfer':
      return applyTransfer(books, entry.kind.value);
    case 'reclaim':
      return applyReclaim(books, entry.kind.value, writer, offset);
    case 'inheritedRelease':
      return applyInheritedRelease(books, entry.kind.value);
    case 'inheritedTakeover':
      return applyInheritedTakeover(books, entry.kind.value);
    case 'writeAhead':
      return applyWriteAhead(books, entry.kind.value, writer);
    case 'strandedRelease':
      return applyStrandedRelease(books, entry.kind.value, offset);
    default:
      return RefusalReason.InvalidEntry;
  }
}

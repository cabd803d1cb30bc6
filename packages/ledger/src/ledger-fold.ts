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
  type Ruling,
} from './verdict.js';

/** Totals of one organisation. */
export interface OrganisationTotals {
  readonly creditedTokens: number;
  readonly unallocatedTokens: number;
  readonly billedTokens: number;
}

/** Digest of a state, as a checkpoint carries it. */
export function digestOfState(state: LedgerState): string {
  return createHash('sha256')
    .update(toBinary(LedgerStateSchema, state))
    .digest('hex');
}

/**
 * Folds the records of one ledger stream, in the order of their offsets. Every
 * reader that folds the same records reaches the same state and verdicts.
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

  /** @param nextOffset The offset of the first record to be applied. */
  constructor(private next = 0) {}

  /**
   * Starts from a checkpoint.
   *
   * @returns undefined where its digest does not match its state.
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

  /** The state covers all offsets below this one. */
  get nextOffset(): number {
    return this.next;
  }

  /** Names of all organisations seen. */
  get organisationNames(): readonly string[] {
    return [...this.organisations.keys()];
  }

  /**
   * Applies one record. A record below `nextOffset` was applied before and is
   * ignored; bytes that are no batch are skipped, so that a foreign record can't
   * stop every reader.
   *
   * @returns The verdicts, in the order of the record's entries.
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

  /** Applies one decoded record. */
  applyBatch(offset: number, batch: LedgerBatch): readonly EntryVerdict[] {
    if (offset < this.next) {
      return [];
    }
    this.next = offset + 1;
    return batch.entries.map(entry =>
      this.applyEntry(offset, batch.writer, entry),
    );
  }

  /** Totals of an organisation; zero where it is unknown. */
  totals(organisation: string): OrganisationTotals {
    const books = this.organisations.get(organisation);
    return {
      creditedTokens: books?.creditedTokens ?? 0,
      unallocatedTokens: books?.unallocatedTokens ?? 0,
      billedTokens: books?.billedTokens ?? 0,
    };
  }

  /** A grant; it must not be changed. */
  grant(organisation: string, grantId: string): GrantState | undefined {
    return this.organisations.get(organisation)?.grants.get(grantId);
  }

  /** All grants of an organisation; they must not be changed. */
  grants(organisation: string): readonly GrantState[] {
    return [...(this.organisations.get(organisation)?.grants.values() ?? [])];
  }

  /** Who won the claim of a request. */
  claim(organisation: string, requestId: string): ClaimState | undefined {
    return this.organisations.get(organisation)?.claims.get(requestId);
  }

  /** Whether a request was billed within the remembered span. */
  isBilled(organisation: string, requestId: string): boolean {
    return (
      this.organisations.get(organisation)?.billedRequests.has(requestId) ??
      false
    );
  }

  /** Whether an entry identifier was seen within the remembered span. */
  hasSeen(organisation: string, entryId: string): boolean {
    return (
      this.organisations.get(organisation)?.seenEntries.has(entryId) ?? false
    );
  }

  /** A checkpoint of the state as it is. */
  toCheckpoint(): LedgerCheckpoint {
    const state = create(LedgerStateSchema, {
      organisations: [...this.organisations.values()].map(books =>
        books.toMessage(),
      ),
    });
    return create(LedgerCheckpointSchema, {
      throughOffset: this.next,
      state,
      digest: digestOfState(state),
    });
  }

  private applyEntry(
    offset: number,
    writer: string,
    entry: LedgerEntry,
  ): EntryVerdict {
    const ruling = this.rule(offset, writer, entry);
    const duplicate = ruling === VerdictKind.Duplicate;
    const accepted = ruling === RefusalReason.None;
    return {
      entryId: entry.entryId,
      organisation: entry.organisation,
      kind: duplicate
        ? VerdictKind.Duplicate
        : accepted
          ? VerdictKind.Accepted
          : VerdictKind.Refused,
      reason: duplicate ? RefusalReason.None : ruling,
    };
  }

  private rule(offset: number, writer: string, entry: LedgerEntry): Ruling {
    if (entry.kind.case === 'checkpoint') {
      return this.checkCheckpoint(offset, entry.kind.value);
    }
    if (entry.entryId === '' || entry.organisation === '') {
      return RefusalReason.InvalidEntry;
    }
    const books = this.booksOf(entry.organisation);
    books.prune(offset);
    // Bills and claims are recognised by their request identifier.
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
    return ruleOnce(books, entry, writer, offset);
  }

  /**
   * A checkpoint that follows right on the span that it covers can be compared
   * with this reader's own state; else only with its own digest.
   */
  private checkCheckpoint(
    offset: number,
    checkpoint: LedgerCheckpoint,
  ): Ruling {
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

  private booksOf(organisation: string): OrganisationBooks {
    const known = this.organisations.get(organisation);
    if (known !== undefined) {
      return known;
    }
    const books = new OrganisationBooks(organisation);
    this.organisations.set(organisation, books);
    return books;
  }
}

function ruleOnce(
  books: OrganisationBooks,
  entry: LedgerEntry,
  writer: string,
  offset: number,
): Ruling {
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
    case 'writeAhead':
      return applyWriteAhead(books, entry.kind.value, writer);
    case 'strandedRelease':
      return applyStrandedRelease(books, entry.kind.value, offset);
    default:
      return RefusalReason.InvalidEntry;
  }
}

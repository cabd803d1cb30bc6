/** The effect of folding an entry. */
export enum VerdictKind {
  Accepted = 'accepted',
  Refused = 'refused',
  /**
   * An earlier entry with the same identifier was folded; this one had no
   * effect.
   */
  Duplicate = 'duplicate',
}

/** The reason why an entry was refused. */
export enum RefusalReason {
  None = '',
  InvalidAmount = 'invalid amount of tokens',
  InvalidEntry = 'entry lacks a kind, an identifier or an organisation',
  BudgetTooSmall = 'the unallocated budget is below the requested minimum',
  UnknownGrant = 'unknown grant',
  GrantClosed = 'the grant is closed',
  GrantTooSmall = 'the grant does not cover the amount',
  NotHolder = 'the writer does not hold the grant',
  NotWitness = 'the named witness is not the current witness of the grant',
  NotInherited = 'the grant is closed and the request was not reserved under it',
  ClaimLost = 'another router claimed the request first',
  WrongDigest = 'the checkpoint does not match its digest',
}

/** The result of folding one entry. */
export interface EntryVerdict {
  readonly entryId: string;
  readonly organisation: string;
  readonly kind: VerdictKind;
  readonly reason: RefusalReason;
}

/**
 * The outcome of applying an entry: `RefusalReason.None` if it was accepted,
 * another reason if it was refused, or `Duplicate`.
 */
export type EntryOutcome = RefusalReason | VerdictKind.Duplicate;

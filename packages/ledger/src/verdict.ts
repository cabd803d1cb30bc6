/** What folding an entry did. */
export enum VerdictKind {
  Accepted = 'accepted',
  Refused = 'refused',
  /** An earlier entry with its identifier decided; this one did nothing. */
  Duplicate = 'duplicate',
}

/** Why an entry was refused. */
export enum RefusalReason {
  None = '',
  InvalidAmount = 'invalid amount of tokens',
  InvalidEntry = 'entry lacks a kind, an identifier or an organisation',
  BudgetTooSmall = 'the unallocated budget is below the minimum asked for',
  UnknownGrant = 'unknown grant',
  GrantClosed = 'the grant is closed',
  GrantTooSmall = 'the grant does not cover the amount',
  NotHolder = 'the writer does not hold the grant',
  NotWitness = 'the witness named is not the one in force',
  NotInherited = 'the grant is closed and the request was not reserved under it',
  ClaimLost = 'another router claimed the request first',
  WrongDigest = 'the checkpoint does not match its digest',
}

/** The verdict of the fold on one entry. */
export interface EntryVerdict {
  readonly entryId: string;
  readonly organisation: string;
  readonly kind: VerdictKind;
  readonly reason: RefusalReason;
}

/** Whether an entry took effect, before its identifier is attached. */
export type Ruling = RefusalReason | VerdictKind.Duplicate;

/** What the fold knows of an organisation's budget at one offset. */
export interface BudgetView {
  /** Total of the newest configuration that any record named. */
  readonly prepaid: number;
  /** Tokens that no process holds and that nobody has spent. */
  readonly unallocated: number;
  /** Tokens that are not known to be gone: unallocated, or held and unspent. */
  readonly rest: number;
  /** Tokens that are known to be gone: charged by living or ended processes. */
  readonly spent: number;
  /** Processes that hold grants or may ask for one. */
  readonly holders: number;
}

/** How the fold answered a request for a grant. */
export interface GrantVerdict {
  readonly kind: 'grant';
  readonly incarnation: string;
  readonly sequence: number;
  readonly organisation: string;
  /** 0 where it was denied. */
  readonly granted: number;
}

/** A loan that the fold has taken off its lender and put to its borrower. */
export interface RecordedLoan {
  readonly kind: 'loan';
  /** Incarnation of the borrower. */
  readonly incarnation: string;
  readonly organisation: string;
  /** The borrower's name for it. */
  readonly loan: string;
  readonly amount: number;
}

/** A grant of an ended process, which counts as spent from now on. */
export interface ClosedGrant {
  readonly organisation: string;
  /** Granted or borrowed, and not returned or lent. */
  readonly charged: number;
  /** What of it the process last said that it had not spent. */
  readonly lastHeld: number;
}

/** A process was opened; those that were open on its host are closed. */
export interface HolderOpening {
  readonly kind: 'opening';
  readonly incarnation: string;
  readonly closed: readonly ClosedGrant[];
}

/** What a record says to one process. */
export type FoldOutcome = GrantVerdict | RecordedLoan | HolderOpening;

/**
 * What all holders together keep in hand, unless requests wait. It shrinks faster
 * than the rest does. Load: the store is away for 9 s at any time of a day, and at
 * its end all hosts die at once. Harm of a fixed part: early it is too little, and
 * callers are refused while the rest lies in the store; late it is too much, and what
 * the dead held leaves too little for those who come afterwards.
 *
 * @param pooledPart The part of a whole budget that may be in hand, above 0, at
 *     most 1; of half a budget an eighth of it.
 */
export function pooledTokens(view: BudgetView, pooledPart: number): number {
  const {rest, prepaid} = view;
  if (rest <= 0 || prepaid <= 0) {
    return 0;
  }
  return Math.floor(pooledPart * rest * Math.min(1, rest / prepaid) ** 2);
}

/** A holder's even share of that. */
export function pooledShare(view: BudgetView, pooledPart: number): number {
  return Math.floor(pooledTokens(view, pooledPart) / view.holders);
}

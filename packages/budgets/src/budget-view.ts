/** An organisation's budget as of the fold's offset. All amounts are tokens. */
export interface BudgetView {
  /** Prepaid total from the newest configuration version in any record. */
  readonly prepaid: number;
  /** Tokens neither held by a process nor spent. */
  readonly unallocated: number;
  /** Tokens not known to be spent: unallocated, or held and unspent. */
  readonly remaining: number;
  /** Tokens known to be spent: charged by running or ended processes. */
  readonly spent: number;
  /** Number of processes that hold grants or may request one. */
  readonly holders: number;
  /** Number of data centres with such processes; 1 if not given. */
  readonly dataCenters?: number;
  /** Number of processes that have been granted tokens and not returned all of them. */
  readonly users: number;
}

/** The fold's decision on a grant request. */
export interface GrantVerdict {
  readonly kind: 'grant';
  readonly incarnation: string;
  readonly sequence: number;
  readonly organisation: string;
  /** Tokens granted; 0 if the request was denied. */
  readonly granted: number;
}

/** A loan that the fold has moved from its lender's grant to its borrower's. */
export interface RecordedLoan {
  readonly kind: 'loan';
  /** Incarnation of the borrower. */
  readonly incarnation: string;
  readonly organisation: string;
  /** Identifier that the borrower assigned to the loan. */
  readonly loan: string;
  /** Tokens lent. */
  readonly amount: number;
}

/** A grant of an ended process. It counts as spent once it is closed. */
export interface ClosedGrant {
  readonly organisation: string;
  /** Tokens granted or borrowed, and not returned or lent. */
  readonly charged: number;
  /** Tokens of the grant that the process last reported as unspent. */
  readonly lastHeld: number;
}

/** A process was opened, which closed any process still open on its host. */
export interface HolderOpening {
  readonly kind: 'opening';
  readonly incarnation: string;
  readonly closed: readonly ClosedGrant[];
}

/** Outcome of a record that concerns one process. */
export type FoldOutcome = GrantVerdict | RecordedLoan | HolderOpening;

/**
 * Tokens that all holders together may hold while no requests wait. The limit shrinks
 * faster than the remaining budget, because the store can be unavailable for 9 s at any
 * time of the day and all hosts can fail at once at the end of the day. A fixed part of
 * the budget would be too small early in the day, when callers would be refused while
 * the remaining tokens are in the store. It would be too large late in the day, when
 * the tokens of the failed hosts would leave too few for later callers.
 *
 * @param pooledPart Part of a full budget that may be held, above 0 and at most 1. When
 *     half of the budget remains, the limit is an eighth of its full value.
 * @returns Tokens, 0 for a budget that is used up or has no prepaid tokens.
 */
export function pooledTokens(view: BudgetView, pooledPart: number): number {
  const {remaining, prepaid} = view;
  if (remaining <= 0 || prepaid <= 0) {
    return 0;
  }
  return Math.floor(
    pooledPart * remaining * Math.min(1, remaining / prepaid) ** 2,
  );
}

/** Tokens that all holders together have not spent, by their last reports. */
export function heldTokens({remaining, unallocated}: BudgetView): number {
  return remaining - unallocated;
}

/** One holder's even share of `pooledTokens`, in tokens. */
export function pooledShare(view: BudgetView, pooledPart: number): number {
  return Math.floor(pooledTokens(view, pooledPart) / view.holders);
}

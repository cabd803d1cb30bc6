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
  readonly incarnation: string;
  readonly sequence: number;
  readonly organisation: string;
  /** 0 where it was denied. */
  readonly granted: number;
}

/**
 * The part of a budget's rest that all holders together keep in hand. Load: the
 * store is away for 9 s of a day of 40 s. Harm: too little, and callers are refused
 * while the rest lies in the store; too much, and a loss of all hosts at once leaves
 * too little, since what they held counts as spent.
 */
const POOLED_PART = 0.4;

/** What all holders together keep in hand, unless requests wait. */
export function pooledTokens(view: BudgetView): number {
  return Math.max(0, Math.floor(POOLED_PART * view.rest));
}

/** A holder's even share of that. */
export function pooledShare(view: BudgetView): number {
  return Math.floor(pooledTokens(view) / view.holders);
}

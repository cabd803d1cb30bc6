import type {BudgetFold} from './budget-fold.js';
import type {GrantAccount} from './grant-account.js';

/** A process that may lend. */
export interface Lender {
  readonly incarnation: string;
  readonly address: string;
  /** Tokens that it held when its last record was folded. */
  readonly held: number;
}

/** A holder lends one part in so many of what it has. */
const KEPT_PART = 2;

/**
 * Who to ask for a loan: those that held most first. What the log says of them is
 * some seconds old, and loans do not stand there: one that seems to have nothing
 * may have borrowed.
 */
export function lendersOf(
  fold: BudgetFold,
  organisation: string,
  borrower: string,
): Lender[] {
  const lenders: Lender[] = [];
  for (const {incarnation, address, grants} of fold.holders.values()) {
    const held = grants.get(organisation)?.held ?? 0;
    if (incarnation !== borrower && address !== '') {
      lenders.push({incarnation, address, held});
    }
  }
  return lenders.sort((one, other) => other.held - one.held);
}

/**
 * How much of an account is lent: half at most, unless the one request that waits
 * at the borrower needs more. An account that can't cover that request lends all:
 * pieces that are too small everywhere serve nobody, and together they serve one.
 * What its own requests were promised is not lent.
 */
export function loanFor(
  account: GrantAccount,
  least: number,
  wish: number,
): number {
  if (least <= 0) {
    return 0;
  }
  const spare = Math.max(0, account.unpromised);
  if (spare < least) {
    return spare;
  }
  const half = Math.floor(spare / KEPT_PART);
  return Math.max(least, Math.min(wish, half));
}

import type {BudgetFold} from './budget-fold.js';
import type {GrantAccount} from './grant-account.js';

/** A process that may lend. */
export interface Lender {
  readonly incarnation: string;
  readonly address: string;
  /** Tokens that it held when its last record was folded. */
  readonly held: number;
}

/** A holder that is asked for more than half of what it has keeps this part. */
const KEPT_PART = 2;

/**
 * Who to ask for a loan: those that held most first. What they say of their use is
 * some seconds old, so that an answer can still be 0.
 */
export function lendersOf(
  fold: BudgetFold,
  organisation: string,
  borrower: string,
): Lender[] {
  const lenders: Lender[] = [];
  for (const {incarnation, address, grants} of fold.holders.values()) {
    const grant = grants.get(organisation);
    const held = (grant?.outstanding ?? 0) - (grant?.spent ?? 0);
    if (incarnation !== borrower && address !== '' && held > 0) {
      lenders.push({incarnation, address, held});
    }
  }
  return lenders.sort((one, other) => other.held - one.held);
}

/**
 * How much of an account is lent: half at most, unless the one request that waits
 * at the borrower needs more.
 */
export function loanFor(
  account: GrantAccount,
  least: number,
  wish: number,
): number {
  if (least <= 0 || account.available < least) {
    return 0;
  }
  const half = Math.floor(account.available / KEPT_PART);
  return Math.max(least, Math.min(wish, half));
}

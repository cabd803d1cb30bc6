import type {BudgetFold, FoldedGrant} from './budget-fold.js';
import type {GrantAccount} from './grant-account.js';

/** A process that can be asked for a loan. */
export interface Lender {
  readonly incarnation: string;
  readonly address: string;
  /** Unspent tokens that its last folded record reported. */
  readonly held: number;
  /** Its grant in the fold; undefined if it had none. The fold replaces it on a change. */
  readonly grant?: FoldedGrant | undefined;
}

/** A holder lends at most its spare tokens divided by this. */
const LOAN_DIVISOR = 2;

/**
 * Lists all other holders with an address, the largest reported amount first. The
 * amounts on the log are some seconds old and do not include loans received, so a holder
 * that reports nothing is listed too: it may have borrowed tokens.
 */
export function lendersByHeldTokens(
  fold: BudgetFold,
  organisation: string,
  borrower: string,
): Lender[] {
  const lenders: Lender[] = [];
  for (const {incarnation, address, grants} of fold.holders.values()) {
    const grant = grants.get(organisation);
    if (incarnation !== borrower && address !== '') {
      lenders.push({incarnation, address, held: grant?.held ?? 0, grant});
    }
  }
  return lenders.sort((one, other) => other.held - one.held);
}

/**
 * Computes how many tokens of an account are lent: half of the spare tokens at most,
 * unless the first request waiting at the borrower needs more. An account that cannot
 * cover that request lends all its spare tokens: small amounts at each holder serve no
 * request, but together they serve one. Tokens promised to the lender's own requests
 * are not lent.
 *
 * @param minimumTokens Tokens that the waiting request needs.
 * @param requestedTokens Tokens that the borrower would like.
 */
export function loanAmount(
  account: GrantAccount,
  minimumTokens: number,
  requestedTokens: number,
): number {
  if (minimumTokens <= 0) {
    return 0;
  }
  const spareTokens = Math.max(0, account.unpromised);
  if (spareTokens < minimumTokens) {
    return spareTokens;
  }
  const lendable = Math.floor(spareTokens / LOAN_DIVISOR);
  return Math.max(minimumTokens, Math.min(requestedTokens, lendable));
}

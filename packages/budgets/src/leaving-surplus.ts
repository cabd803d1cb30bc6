import type {BudgetView} from './budget-view.js';
import type {GrantAccount} from './grant-account.js';
import {SCARCE_BUDGET_PART} from './reservation.js';

/**
 * Computes the tokens that a leaving host returns for the other hosts, to which its
 * callers are redirected. When few tokens are unallocated, it returns all available ones
 * that are not promised except for one request of average size. Its recent usage does
 * not indicate what it needs.
 *
 * @param view The budget as of the fold's offset; undefined before any grant.
 * @returns Tokens to return; undefined while enough tokens are unallocated.
 * @example
 * ```ts
 * const returnTokens = leavingSurplus(account, fold.view('school'));
 * ```
 */
export function leavingSurplus(
  account: GrantAccount,
  view: BudgetView | undefined,
): number | undefined {
  if (
    view === undefined ||
    view.unallocated >= SCARCE_BUDGET_PART * view.prepaid
  ) {
    return undefined;
  }
  return Math.max(0, Math.floor(account.unpromised - account.meanBound));
}

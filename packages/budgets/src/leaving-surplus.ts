import type {BudgetView} from './budget-view.js';
import type {GrantAccount} from './grant-account.js';
import {SCARCE_PART} from './reservation.js';

/**
 * What a host gives back whose callers are led to other hosts: all that is not promised,
 * but one usual request, where the log has little for those hosts. Its use of late is no
 * measure of what it needs.
 *
 * @param view The budget as the log is known; undefined before any grant.
 * @returns Tokens to give back; undefined where the log has plenty.
 * @example
 * ```ts
 * const giveBack = leavingSurplus(account, fold.view('school'));
 * ```
 */
export function leavingSurplus(
  account: GrantAccount,
  view: BudgetView | undefined,
): number | undefined {
  if (view === undefined || view.unallocated >= SCARCE_PART * view.prepaid) {
    return undefined;
  }
  return Math.max(0, Math.floor(account.unpromised - account.usualBound));
}

import type {BudgetView} from './budget-view.js';
import type {GrantAccount} from './grant-account.js';

/** When a request's tokens are reserved in the account. */
export enum ChargePoint {
  /** Before the request is sent to an endpoint. */
  Dispatch = 'dispatch',
  /** Before the first part of the answer is sent to the caller. */
  Delivery = 'delivery',
}

/** Tokens reserved for one request, or promised to it. */
export interface Reservation {
  readonly organisation: string;
  /** Maximum number of tokens that the request can use. */
  readonly bound: number;
  /** With `Delivery` the tokens are only promised until the answer is delivered. */
  readonly chargePoint: ChargePoint;
}

/**
 * Tokens are reserved before the dispatch while less than this part of a budget is
 * available from the log. Hosts do not see each other's promises. Without this limit
 * they would run requests for more tokens than remain and refuse callers whose answers
 * are ready.
 */
export const SCARCE_BUDGET_PART = 0.03;

/**
 * Chooses when a new request's tokens are reserved.
 *
 * All hosts can lose power while hundreds of long prompts wait for their first event.
 * Tokens reserved at the dispatch then count as spent although nothing was delivered,
 * and later callers are refused for lack of them. A promise is in no record and ends
 * with its process, so it costs nothing; it is made only where the log is certain to
 * have the tokens.
 *
 * @param view The budget as of the fold's offset; undefined before any grant.
 * @param bound Maximum number of tokens that the request can use.
 * @param isLogResponsive Whether the log answers and can therefore grant the tokens.
 * @example
 * ```ts
 * chooseChargePoint(account, fold.view('school'), 12_000, true); // ChargePoint.Delivery
 * ```
 */
export function chooseChargePoint(
  account: GrantAccount,
  view: BudgetView | undefined,
  bound: number,
  isLogResponsive: boolean,
): ChargePoint {
  if (view === undefined || !isLogResponsive) {
    return ChargePoint.Dispatch;
  }
  const left = view.unallocated + account.unpromised - bound;
  return left >= SCARCE_BUDGET_PART * view.prepaid
    ? ChargePoint.Delivery
    : ChargePoint.Dispatch;
}

import type {BudgetView} from './budget-view.js';
import type {GrantAccount} from './grant-account.js';

/** When a request's tokens are taken off the account. */
export enum ChargePoint {
  /** Before it is sent to an endpoint. */
  Dispatch = 'dispatch',
  /** Before the first part of its answer is passed on. */
  Delivery = 'delivery',
}

/** Tokens put aside for one request, or promised to it. */
export interface Reservation {
  readonly organisation: string;
  /** The most that the request can use. */
  readonly bound: number;
  /** Until `Delivery`'s moment has come, nothing is taken. */
  readonly chargePoint: ChargePoint;
}

/**
 * While less than this part of a budget is free in the log, tokens are taken before
 * the dispatch. Failure prevented: hosts that do not see each other's promises run
 * more than is left, and callers are refused whose answers were ready.
 */
export const SCARCE_PART = 0.03;

/**
 * When to take a new request's tokens.
 *
 * Load: all hosts lose power while hundreds of long prompts wait for their first
 * event. Tokens taken at the dispatch count as spent then, though nothing was
 * delivered, and later callers are refused for them. A promise stands in no record
 * and dies with its process; it is made only where the log surely has the tokens.
 *
 * @param view The budget as the log is known; undefined before any grant.
 * @param isLogAtHand Whether the log answers, so that the tokens can come from it.
 * @example
 * ```ts
 * chargePoint(account, fold.view('school'), 12_000, true); // ChargePoint.Delivery
 * ```
 */
export function chargePoint(
  account: GrantAccount,
  view: BudgetView | undefined,
  bound: number,
  isLogAtHand: boolean,
): ChargePoint {
  if (view === undefined || !isLogAtHand) {
    return ChargePoint.Dispatch;
  }
  const left = view.unallocated + account.unpromised - bound;
  return left >= SCARCE_PART * view.prepaid
    ? ChargePoint.Delivery
    : ChargePoint.Dispatch;
}

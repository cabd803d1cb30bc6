import type {BudgetView} from './budget-view.js';
import type {GrantAccount} from './grant-account.js';

/** What a process asks for or gives back. */
export interface GrantChange {
  /** Tokens to ask for; 0 for none. */
  readonly wish: number;
  /** Less than this is of no use. */
  readonly least: number;
  /** Tokens to give back. */
  readonly giveBack: number;
}

const NO_CHANGE: GrantChange = {wish: 0, least: 0, giveBack: 0};

/** How large grants are and when they are given back. */
export abstract class GrantSizing {
  /**
   * @param account What the process holds.
   * @param view The budget as the fold knows it; undefined before any grant.
   * @param prepaid The budget by the configuration in force.
   */
  abstract change(
    account: GrantAccount,
    view: BudgetView | undefined,
    prepaid: number,
    now: number,
  ): GrantChange;
}

/**
 * A host can be cut off from the store for some 9 s on the users' platform; below
 * this much use ahead, more is asked for.
 */
const LOW_MILLISECONDS = 10_000;
/** A refill reaches so far ahead, so that a steady user asks every few seconds. */
const TARGET_MILLISECONDS = 16_000;
/** What is held beyond this much use ahead is given back while the rest is small. */
const SURPLUS_MILLISECONDS = 30_000;
/**
 * Before use is known a process asks for this part of the budget. Nine hosts then
 * hold three eighths of it, enough for a store that is away from the start.
 */
const FIRST_SHARE = 1 / 24;
/** The rest is small below this part of the budget: surplus is given back. */
const SMALL_REST_SHARE = 0.1;
/**
 * The rest is nearly gone when it can't give each holder so many of the largest
 * requests: then nothing is kept that no request has reserved.
 */
const NEARLY_GONE_REQUESTS = 2;

/**
 * Grants that outlast a cut while much remains, and single reservations on the log
 * near the end of a budget.
 */
export class DemandSizing extends GrantSizing {
  override change(
    account: GrantAccount,
    view: BudgetView | undefined,
    prepaid: number,
    now: number,
  ): GrantChange {
    if (view !== undefined && isNearlyGone(account, view)) {
      return {...NO_CHANGE, giveBack: account.available};
    }
    const usage = account.usagePerMillisecond(now);
    const first = Math.floor(prepaid * FIRST_SHARE);
    const surplus = surplusOf(account, view, usage * SURPLUS_MILLISECONDS);
    if (surplus > 0) {
      return {...NO_CHANGE, giveBack: surplus};
    }
    const low = Math.max(first / 2, usage * LOW_MILLISECONDS, account.largest);
    if (account.available >= low) {
      return NO_CHANGE;
    }
    const target = Math.max(first, usage * TARGET_MILLISECONDS, 2 * low);
    const wish = Math.ceil(target - account.available);
    return {
      wish,
      least: Math.ceil(Math.max(1, account.largest, wish / 8)),
      giveBack: 0,
    };
  }
}

function isNearlyGone(account: GrantAccount, view: BudgetView): boolean {
  return (
    view.unallocated <
    NEARLY_GONE_REQUESTS * view.holders * Math.max(1, account.largest)
  );
}

function surplusOf(
  account: GrantAccount,
  view: BudgetView | undefined,
  keep: number,
): number {
  if (
    view === undefined ||
    view.unallocated >= view.prepaid * SMALL_REST_SHARE
  ) {
    return 0;
  }
  const kept = Math.max(keep, 2 * account.largest);
  return Math.max(0, Math.floor(account.available - kept));
}

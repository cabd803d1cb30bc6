import {pooledShare, type BudgetView} from './budget-view.js';
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

/** What is kept in hand for the time that the store may be away. */
export interface ReserveOptions {
  /** The part of a budget's rest that all hosts together may hold, above 0. */
  readonly pooledPart: number;
  /** What a host's callers use in so many seconds is kept, within that part. */
  readonly seconds: number;
}

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

/** Below this part of the target, more is asked for. */
const LOW_PART = 0.8;
/** An answer of less than this part of what is missing is of no use. */
const LEAST_PART = 0.25;
/**
 * What every host keeps at least of its even share, whether callers come to it or not.
 * Load: a customer's callers come to one host, and the store goes away. Harm: with
 * nothing, the first who comes to another host is refused while plenty lies in the
 * store; with its whole share, each host that dies takes it along.
 */
const IDLE_PART = 0.15;
/** Before the fold knows a budget, so many holders are assumed to share it. */
const ASSUMED_HOLDERS = 16;
/** What is held beyond so many times the target is given back for others to have. */
const SURPLUS_FACTOR = 1.5;
/**
 * The rest is nearly gone when it can't give each holder so many usual requests:
 * then nothing is kept that no request has reserved. Harm with the largest request
 * in place of the usual one: small budgets are never kept at hosts, and each cut from
 * the store refuses their callers.
 */
const NEARLY_GONE_REQUESTS = 1;

/**
 * Grants that outlast a cut while much remains, and single reservations on the log
 * near the end of a budget.
 */
export class DemandSizing extends GrantSizing {
  constructor(private readonly reserve: ReserveOptions) {
    super();
  }

  override change(
    account: GrantAccount,
    view: BudgetView | undefined,
    prepaid: number,
    now: number,
  ): GrantChange {
    if (view !== undefined && isNearlyGone(account, view)) {
      return {...NO_CHANGE, giveBack: account.available};
    }
    const target = this.target(account, view, prepaid, now);
    const surplus = Math.floor(account.available - SURPLUS_FACTOR * target);
    if (surplus > 0) {
      return {...NO_CHANGE, giveBack: surplus};
    }
    if (account.available >= LOW_PART * target) {
      return NO_CHANGE;
    }
    const wish = Math.ceil(target - account.available);
    const least = Math.max(1, Math.ceil(wish * LEAST_PART));
    return {wish, least, giveBack: 0};
  }

  /**
   * What its callers use in the reserve's time, and one usual request. A host that
   * none of them came to keeps a part of its even share, for those who come while it
   * is cut off.
   */
  private target(
    account: GrantAccount,
    view: BudgetView | undefined,
    prepaid: number,
    now: number,
  ): number {
    const {pooledPart, seconds} = this.reserve;
    const even =
      view === undefined
        ? (prepaid * pooledPart) / ASSUMED_HOLDERS
        : pooledShare(view, pooledPart);
    const usage = account.usagePerSecond(now) * seconds;
    return Math.floor(Math.max(usage, account.usualBound, even * IDLE_PART));
  }
}

function isNearlyGone(account: GrantAccount, view: BudgetView): boolean {
  return (
    view.rest <
    NEARLY_GONE_REQUESTS * view.holders * Math.max(1, account.usualBound)
  );
}

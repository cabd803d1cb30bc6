import {
  heldTokens,
  pooledShare,
  pooledTokens,
  type BudgetView,
} from './budget-view.js';
import type {GrantAccount} from './grant-account.js';

/** Tokens that a process requests or returns. */
export interface GrantChange {
  /** Tokens to request; 0 for none. */
  readonly requestTokens: number;
  /** Minimum useful grant, in tokens. */
  readonly minimumTokens: number;
  /** Tokens to return. */
  readonly returnTokens: number;
}

const NO_CHANGE: GrantChange = {
  requestTokens: 0,
  minimumTokens: 0,
  returnTokens: 0,
};

/** Tokens that hosts hold in reserve for outages of the store. */
export interface ReserveOptions {
  /** Part of the remaining budget that all hosts together may hold, above 0. */
  readonly pooledPart: number;
  /** Seconds of the host's recent usage that its reserve covers, within that part. */
  readonly seconds: number;
}

/** Decides how large grants are and when tokens are returned. */
export abstract class GrantSizing {
  /**
   * @param account The process's account of the budget.
   * @param view The budget as of the fold's offset; undefined before any grant.
   * @param prepaid The budget of the configuration in force, in tokens.
   * @param now Monotonic time, milliseconds.
   */
  abstract planChange(
    account: GrantAccount,
    view: BudgetView | undefined,
    prepaid: number,
    now: number,
  ): GrantChange;
}

/** Tokens are requested when fewer than this part of the target are available. */
const REFILL_THRESHOLD_PART = 0.8;
/** Minimum useful grant, as a part of the missing tokens. */
const MINIMUM_REFILL_PART = 0.25;
/**
 * Part of its even share that every host holds, whether it has callers or not. An
 * organisation's callers may all use one host when the store becomes unavailable.
 * Without this minimum, the first caller at another host is refused while the store has
 * plenty of tokens. With the whole share, the tokens of each host that fails are lost.
 */
const IDLE_SHARE_PART = 0.15;
/**
 * Idle hosts hold no part of the even share that is below this many tokens for each
 * holder. The larger the fleet, the smaller are the parts, and the more records of hosts
 * without callers does every host read.
 */
const MINIMUM_IDLE_TOKENS_PER_HOLDER = 5;
/**
 * Length of an outage of the store, in seconds, for which the hosts of one data centre
 * hold an organisation's usage in the whole fleet: all its callers may come to them.
 */
const OUTAGE_SECONDS = 8;
/**
 * Maximum part of its even share that a host holds for callers of other hosts. Hosts with
 * more callers than others are granted the rest.
 */
const MOVED_SHARE_PART = 0.8;
/**
 * Part of a budget that remains from which on this part of the even share is held in
 * full, and below which none of it is. With the whole of it until the end of a day, the
 * loss of all hosts late in the day takes 0.111 of the budgets instead of 0.090.
 */
const FULL_MOVED_REMAINING_PART = 0.65;
const NO_MOVED_REMAINING_PART = 0.35;
/**
 * Tokens for callers of other hosts are requested when fewer than this part of them are
 * available. They are used in an outage only, and each request is a record that all hosts
 * read.
 */
const MOVED_REFILL_PART = 0.5;
/**
 * Tokens for callers of other hosts are held if they are as many as a usual request has.
 * Hosts that had no callers of an organisation don't know the size of its requests.
 */
const MINIMUM_MOVED_TOKENS = 4_000;
/** Number of holders assumed to share a budget before the fold has a view of it. */
const ASSUMED_HOLDERS = 16;
/** Tokens beyond this multiple of the target are returned for other holders to use. */
const SURPLUS_FACTOR = 1.5;
/**
 * A budget is near exhaustion when its remaining tokens do not cover this many requests
 * of average size for each of its users. Holders then keep no unreserved tokens. Measured
 * by the largest request instead of the average one, or by all hosts of a large fleet
 * instead of those with callers of the organisation, small budgets would never be held
 * at hosts, and their callers would be refused whenever a host loses the store.
 */
const EXHAUSTION_REQUESTS_PER_USER = 1;

/**
 * Sizes grants by recent demand. While much of a budget remains, grants outlast a loss
 * of the store; near the end of the budget, each request reserves its tokens on the log.
 */
export class DemandSizing extends GrantSizing {
  constructor(private readonly reserve: ReserveOptions) {
    super();
  }

  override planChange(
    account: GrantAccount,
    view: BudgetView | undefined,
    prepaid: number,
    now: number,
  ): GrantChange {
    if (view !== undefined && isNearExhaustion(account, view)) {
      return {...NO_CHANGE, returnTokens: account.available};
    }
    if (view !== undefined) {
      account.fleetUsage.observe(view.spent, now);
    }
    const maximum = this.maximumTarget(view);
    const ownTarget = Math.min(
      this.target(account, view, prepaid, now),
      maximum,
    );
    const movedTarget = Math.min(
      this.movedCallersTarget(account, view, now),
      maximum,
    );
    const target = Math.max(ownTarget, movedTarget);
    const surplus = Math.floor(account.available - SURPLUS_FACTOR * target);
    if (surplus > 0) {
      return {...NO_CHANGE, returnTokens: surplus};
    }
    if (
      account.available >= REFILL_THRESHOLD_PART * ownTarget &&
      account.available >= MOVED_REFILL_PART * movedTarget
    ) {
      return NO_CHANGE;
    }
    const wish = Math.ceil(target - account.available);
    const least = Math.max(1, Math.ceil(wish * MINIMUM_REFILL_PART));
    return {requestTokens: wish, minimumTokens: least, returnTokens: 0};
  }

  /**
   * Limits what a host holds to its share of what all may hold, once they hold more.
   * A limit on new grants alone leaves each host of a large fleet with a request's worth
   * of tokens at least, and the loss of all hosts late in the day then takes more of the
   * budget than later callers can do without.
   */
  private maximumTarget(view: BudgetView | undefined): number {
    const {pooledPart} = this.reserve;
    return view === undefined ||
      heldTokens(view) <= pooledTokens(view, pooledPart)
      ? Infinity
      : pooledShare(view, pooledPart);
  }

  /**
   * Tokens to hold: the largest of the usage during the reserve time, one request of
   * average size, and a part of the even share. The last serves callers that come to an
   * idle host while it has no connection to the store, or is lent to a busy host. Where
   * idle hosts hold none, each host has one standard deviation of its usage more: the
   * hosts of a large fleet get few requests of an organisation each, of sizes that vary
   * much.
   */
  private target(
    account: GrantAccount,
    view: BudgetView | undefined,
    prepaid: number,
    now: number,
  ): number {
    const {pooledPart, seconds} = this.reserve;
    const holders = view?.holders ?? ASSUMED_HOLDERS;
    const evenShare =
      view === undefined
        ? (prepaid * pooledPart) / holders
        : pooledShare(view, pooledPart);
    const idleShare = evenShare * IDLE_SHARE_PART;
    const isIdleShareHeld =
      idleShare >= holders * MINIMUM_IDLE_TOKENS_PER_HOLDER;
    const usage = account.usagePerSecond(now) * seconds;
    const deviation = account.usageDeviation(now, seconds);
    return Math.floor(
      isIdleShareHeld
        ? Math.max(usage, account.meanBound, idleShare)
        : Math.max(usage + deviation, account.meanBound),
    );
  }

  /**
   * Tokens to hold for callers that change hosts in an outage: this host's part of what
   * the organisation uses in the whole fleet, if all its callers come to one data centre.
   * The log shows usage some seconds late, so that the fleet's is also taken for as much
   * as this host has at each other one.
   * The part of the budget that may be held decreases faster than the budget, so that
   * late in the day little is lost with hosts that fail. Less than a request is not held.
   */
  private movedCallersTarget(
    account: GrantAccount,
    view: BudgetView | undefined,
    now: number,
  ): number {
    if (view === undefined) {
      return 0;
    }
    const {holders, dataCenters = 1} = view;
    const usage = Math.max(
      account.fleetUsage.perSecond(now),
      account.earlyUsagePerSecond(now) * holders,
    );
    const tokens = Math.min(
      (usage * OUTAGE_SECONDS * dataCenters) / holders,
      movedShareOf(view) * pooledShare(view, this.reserve.pooledPart),
    );
    const minimum = Math.max(account.meanBound, MINIMUM_MOVED_TOKENS);
    return tokens >= minimum ? Math.floor(tokens) : 0;
  }
}

/** Part of the even share that is held for callers of other hosts. */
function movedShareOf({remaining, prepaid}: BudgetView): number {
  const above = remaining / prepaid - NO_MOVED_REMAINING_PART;
  const whole = FULL_MOVED_REMAINING_PART - NO_MOVED_REMAINING_PART;
  return MOVED_SHARE_PART * Math.max(0, Math.min(1, above / whole));
}

function isNearExhaustion(account: GrantAccount, view: BudgetView): boolean {
  return (
    view.remaining <
    EXHAUSTION_REQUESTS_PER_USER *
      Math.max(1, view.users) *
      Math.max(1, account.meanBound)
  );
}

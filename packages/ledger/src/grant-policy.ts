import {BudgetPreference} from '@wisteriadeal/schema';

/** What a holder knows when it decides on its grants for an organisation. */
export interface GrantSituation {
  /** Tokens that this holder can reserve now, in all its grants. */
  readonly spendableTokens: number;
  /** What it can reserve in one piece, since a bill names one grant. */
  readonly largestSpendableTokens: number;
  /** Tokens asked for on the log and not yet given. */
  readonly requestedTokens: number;
  readonly creditedTokens: number;
  readonly unallocatedTokens: number;
  /** Credited less billed: what all holders and the rest have together. */
  readonly remainingTokens: number;
  /** This holder's demand. */
  readonly demandTokensPerSecond: number;
  /** Demand of all holders together, from the bills on the log. */
  readonly totalDemandTokensPerSecond: number;
  /** The largest bound asked for lately, or one that waits now. */
  readonly largestBoundTokens: number;
  /** Bound of a request that waits for tokens; 0 where none does. */
  readonly waitingBoundTokens: number;
  /** Of all holders this one has most; it keeps the end of the budget. */
  readonly holdsMost: boolean;
  /** Holders that may serve the organisation: its live data centres. */
  readonly holders: number;
  /** How long the holder wants to be able to go on without the platform. */
  readonly partitionSeconds: number;
  readonly preference: BudgetPreference;
  /** Another host can witness, and take back what this one holds if it is lost. */
  readonly hasWitness: boolean;
}

/** What to do now. All amounts are whole tokens; 0 means nothing. */
export interface GrantDecision {
  readonly askTokens: number;
  /** Less than this is not worth a grant. */
  readonly minimumTokens: number;
  readonly returnTokens: number;
}

const NOTHING: GrantDecision = {
  askTokens: 0,
  minimumTokens: 0,
  returnTokens: 0,
};

/**
 * Decides how large a holder's grant is. False refusals come from tokens that
 * stand in the wrong place; a policy decides where they stand.
 */
export abstract class GrantPolicy {
  /**
   * @example
   * ```ts
   * const {askTokens} = policy.decide(situation);
   * ```
   */
  abstract decide(situation: GrantSituation): GrantDecision;
}

/** The baseline: each holder takes an equal share of the budget, once. */
export class EqualSplitPolicy extends GrantPolicy {
  override decide(situation: GrantSituation): GrantDecision {
    if (situation.spendableTokens + situation.requestedTokens > 0) {
      return NOTHING;
    }
    const share = Math.floor(situation.creditedTokens / situation.holders);
    const askTokens = Math.min(share, situation.unallocatedTokens);
    return {askTokens, minimumTokens: 1, returnTokens: 0};
  }
}

/** Demand that was measured may double in a partition before any is refused. */
const HEADROOM = 2;
/** Fewer refusals: nearly everything stands where it is likely to be needed. */
const REFUSAL_AVERSE_SHARE = 0.95;
/** Clear books: a quarter stays unallocated, which no lost host can strand. */
const CLARITY_SHARE = 0.75;
/** A holder without demand keeps so many of the largest bounds in reserve. */
const IDLE_BOUNDS = 4;
/**
 * This part of the share ignores demand: a data centre with few requests so far
 * has shown too little to be judged by, and its demand can only rise.
 */
const EQUAL_PART = 0.1;
/** Refill at this share of the target, so that the grant arrives in time. */
const REFILL_SHARE = 0.9;
/** Give back beyond this multiple of the target, so that tokens don't swing. */
const RETURN_MULTIPLE = 1.2;
/** Where fewer bounds than this remain for each holder, slices collapse. */
const COLLAPSE_BOUNDS = 4;

/**
 * The chosen policy: a holder keeps what it is expected to need through a
 * partition, but no more than its share of what remains, by demand. Near the end
 * of the budget the slices collapse into the one of the holder that has most;
 * the others ask it, or the log, for one request's bound at a time.
 */
export class DemandGrantPolicy extends GrantPolicy {
  override decide(situation: GrantSituation): GrantDecision {
    const {waitingBoundTokens, largestSpendableTokens} = situation;
    if (waitingBoundTokens > largestSpendableTokens) {
      return this.decideForWaiting(situation);
    }
    if (waitingBoundTokens > 0) {
      // It is about to reserve; giving its tokens back now would ask for them
      // again at once, for ever.
      return NOTHING;
    }
    return this.isNearEnd(situation)
      ? this.decideNearEnd(situation)
      : this.decideByDemand(situation);
  }

  private isNearEnd(situation: GrantSituation): boolean {
    const bound = Math.max(1, situation.largestBoundTokens);
    return (
      situation.remainingTokens < COLLAPSE_BOUNDS * bound * situation.holders
    );
  }

  /**
   * Load: a request waits and no single grant covers it. Harm: refusing it
   * though the pieces together would do. The pieces go back, and one grant of
   * the whole bound is asked for.
   */
  private decideForWaiting(situation: GrantSituation): GrantDecision {
    const {waitingBoundTokens, unallocatedTokens, spendableTokens} = situation;
    if (situation.requestedTokens > 0) {
      return NOTHING;
    }
    if (unallocatedTokens >= waitingBoundTokens) {
      const target = this.isNearEnd(situation)
        ? waitingBoundTokens
        : this.targetTokens(situation);
      return {
        askTokens: Math.max(
          waitingBoundTokens,
          Math.min(target, unallocatedTokens),
        ),
        minimumTokens: waitingBoundTokens,
        returnTokens: 0,
      };
    }
    return unallocatedTokens + spendableTokens >= waitingBoundTokens
      ? {...NOTHING, returnTokens: spendableTokens}
      : NOTHING;
  }

  /**
   * Load: the last few per cent of a budget, shared by all holders. Harm: a
   * remainder shredded into slices that are each too small for one request.
   */
  private decideNearEnd(situation: GrantSituation): GrantDecision {
    const {unallocatedTokens, spendableTokens} = situation;
    if (!situation.holdsMost) {
      return {...NOTHING, returnTokens: spendableTokens};
    }
    return unallocatedTokens > 0 && situation.requestedTokens === 0
      ? {askTokens: unallocatedTokens, minimumTokens: 1, returnTokens: 0}
      : NOTHING;
  }

  private decideByDemand(situation: GrantSituation): GrantDecision {
    const target = this.targetTokens(situation);
    const held = situation.spendableTokens + situation.requestedTokens;
    if (held < REFILL_SHARE * target && situation.unallocatedTokens > 0) {
      return {
        askTokens: Math.min(target - held, situation.unallocatedTokens),
        minimumTokens: 1,
        returnTokens: 0,
      };
    }
    // What is held without a witness may be all that there is through a partition.
    const excess = situation.hasWitness
      ? situation.spendableTokens - target
      : 0;
    return excess > (RETURN_MULTIPLE - 1) * target
      ? {...NOTHING, returnTokens: excess}
      : NOTHING;
  }

  /**
   * Load: no other host can be reached. Harm of a large grant: it is stranded with this
   * host until an operator releases it, and every other host refuses meanwhile.
   */
  private targetTokens(situation: GrantSituation): number {
    const idle = IDLE_BOUNDS * Math.max(1, situation.largestBoundTokens);
    const share = this.shareOfRemaining(situation, idle);
    return situation.hasWitness
      ? this.witnessedTarget(situation, idle, share)
      : Math.floor(Math.min(idle, share));
  }

  private witnessedTarget(
    situation: GrantSituation,
    idle: number,
    share: number,
  ): number {
    const kept =
      situation.preference === BudgetPreference.AVOID_UNCLEAR_BILLS
        ? CLARITY_SHARE
        : REFUSAL_AVERSE_SHARE;
    const cover =
      situation.demandTokensPerSecond * situation.partitionSeconds * HEADROOM;
    const wanted = Math.max(cover, idle, kept * share);
    return Math.floor(Math.min(wanted, share));
  }

  /**
   * Load: demand that differs between data centres, with less left than all
   * would like. Each takes by demand, and the idle ones keep a small reserve.
   */
  private shareOfRemaining(situation: GrantSituation, idle: number): number {
    const total = Math.max(
      situation.totalDemandTokensPerSecond,
      situation.demandTokensPerSecond,
    );
    const equal = situation.remainingTokens / situation.holders;
    if (total === 0) {
      return equal;
    }
    const byDemand =
      (situation.remainingTokens * situation.demandTokensPerSecond) / total;
    const smoothed = EQUAL_PART * equal + (1 - EQUAL_PART) * byDemand;
    return Math.max(smoothed, Math.min(idle, equal));
  }
}

import {BudgetPreference} from '@wisteriadeal/schema';

/** Input of a decision of one holder about its grants for an organisation. */
export interface GrantPolicyInput {
  /** Tokens that this holder can reserve now, summed over its grants. */
  readonly spendableTokens: number;
  /**
   * Largest amount that this holder can reserve for one request: the maximum
   * over its grants, since a reservation and its bill use a single grant.
   */
  readonly largestSpendableTokens: number;
  /** Tokens of grant requests appended to the log and not yet decided. */
  readonly requestedTokens: number;
  readonly creditedTokens: number;
  readonly unallocatedTokens: number;
  /** Credited minus billed tokens: all grants plus the unallocated budget. */
  readonly remainingTokens: number;
  /** Demand at this holder. */
  readonly demandTokensPerSecond: number;
  /** Demand at all holders, derived from the bills on the log. */
  readonly totalDemandTokensPerSecond: number;
  /** Largest bound of a recent or waiting request, in tokens. */
  readonly largestBoundTokens: number;
  /** Bound of a request that waits for tokens; 0 if none waits. */
  readonly waitingBoundTokens: number;
  /**
   * Whether this holder has the most tokens of all. It keeps the remaining
   * tokens when the budget is nearly spent.
   */
  readonly isLargestHolder: boolean;
  /**
   * Number of holders that can serve the organisation: one for each live data
   * centre.
   */
  readonly holders: number;
  /**
   * Length of a partition from the platform that the grants should cover, in
   * seconds.
   */
  readonly partitionSeconds: number;
  readonly preference: BudgetPreference;
  /**
   * Whether another host is available as a witness, which reclaims the grants
   * of this one if it is lost.
   */
  readonly hasWitness: boolean;
}

/**
 * A decision about the grants of a holder. Amounts are whole tokens; 0 means no
 * action.
 */
export interface GrantDecision {
  /** Size of the grant to request. */
  readonly grantRequestTokens: number;
  /**
   * Smallest grant to accept; the fold refuses the request if fewer tokens are
   * left.
   */
  readonly minimumTokens: number;
  /** Tokens to return to the unallocated budget. */
  readonly returnTokens: number;
}

const NO_CHANGE: GrantDecision = {
  grantRequestTokens: 0,
  minimumTokens: 0,
  returnTokens: 0,
};

/**
 * Decides the size of a holder's grants. A request is falsely refused if the
 * budget covers it but other holders have the tokens, so the distribution of
 * tokens over holders determines the number of false refusals.
 */
export abstract class GrantPolicy {
  /**
   * @example
   * ```ts
   * const {grantRequestTokens} = policy.decide(input);
   * ```
   */
  abstract decide(input: GrantPolicyInput): GrantDecision;
}

/** Baseline policy: each holder requests an equal share of the budget once. */
export class EqualSplitPolicy extends GrantPolicy {
  override decide(input: GrantPolicyInput): GrantDecision {
    if (input.spendableTokens + input.requestedTokens > 0) {
      return NO_CHANGE;
    }
    const share = Math.floor(input.creditedTokens / input.holders);
    const grantRequestTokens = Math.min(share, input.unallocatedTokens);
    return {grantRequestTokens, minimumTokens: 1, returnTokens: 0};
  }
}

/**
 * Demand may grow to this multiple of the measured rate in a partition without
 * refusals.
 */
const PARTITION_DEMAND_FACTOR = 2;
/**
 * Fraction of its share that a holder targets if it prefers to avoid refusals:
 * nearly all tokens are placed where they will probably be used.
 */
const AVOID_REFUSALS_TARGET_FRACTION = 0.95;
/**
 * Fraction of its share that a holder targets if it prefers to avoid unclear
 * bills: a quarter stays unallocated, where the loss of a host cannot strand
 * it.
 */
const AVOID_UNCLEAR_BILLS_TARGET_FRACTION = 0.75;
/** Reserve of a holder without demand, as a multiple of the largest bound. */
const IDLE_RESERVE_BOUNDS = 4;
/**
 * Weight of the equal share against the share by demand. The few requests of a
 * quiet data centre are too small a sample to predict its demand, which can
 * only increase.
 */
const EQUAL_SHARE_WEIGHT = 0.1;
/**
 * A refill is requested below this fraction of the target, so that it arrives
 * in time.
 */
const REFILL_THRESHOLD_FRACTION = 0.9;
/**
 * Tokens are returned above this multiple of the target; the gap avoids
 * oscillation.
 */
const RETURN_THRESHOLD_FACTOR = 1.2;
/** Grants are consolidated if fewer bounds than this remain for each holder. */
const CONSOLIDATION_THRESHOLD_BOUNDS = 4;

/**
 * Sizes grants by demand; the policy in use. A holder keeps the tokens that it
 * is expected to need during a partition, limited to its share of the remaining
 * budget. When the budget is nearly spent, the tokens are consolidated at the
 * holder that has the most; the others request the bound of one request at a
 * time from it or from the log.
 */
export class DemandGrantPolicy extends GrantPolicy {
  override decide(input: GrantPolicyInput): GrantDecision {
    const {waitingBoundTokens, largestSpendableTokens} = input;
    if (waitingBoundTokens > largestSpendableTokens) {
      return this.decideForWaitingRequest(input);
    }
    if (waitingBoundTokens > 0) {
      // The request is about to reserve its bound. Returning the tokens now
      // would lead to an endless loop of returns and new grant requests.
      return NO_CHANGE;
    }
    return this.isBudgetNearlySpent(input)
      ? this.decideConsolidation(input)
      : this.decideByDemand(input);
  }

  private isBudgetNearlySpent(input: GrantPolicyInput): boolean {
    const bound = Math.max(1, input.largestBoundTokens);
    return (
      input.remainingTokens <
      CONSOLIDATION_THRESHOLD_BOUNDS * bound * input.holders
    );
  }

  /**
   * Serves a request whose bound no single grant covers, although all grants
   * together might. Instead of refusing it, returns the spendable tokens of all
   * grants, then requests one grant that covers the bound.
   */
  private decideForWaitingRequest(input: GrantPolicyInput): GrantDecision {
    const {waitingBoundTokens, unallocatedTokens, spendableTokens} = input;
    if (input.requestedTokens > 0) {
      return NO_CHANGE;
    }
    if (unallocatedTokens >= waitingBoundTokens) {
      const target = this.isBudgetNearlySpent(input)
        ? waitingBoundTokens
        : this.targetTokens(input);
      return {
        grantRequestTokens: Math.max(
          waitingBoundTokens,
          Math.min(target, unallocatedTokens),
        ),
        minimumTokens: waitingBoundTokens,
        returnTokens: 0,
      };
    }
    return unallocatedTokens + spendableTokens >= waitingBoundTokens
      ? {...NO_CHANGE, returnTokens: spendableTokens}
      : NO_CHANGE;
  }

  /**
   * Consolidates the last few per cent of a budget at one holder. Spread over
   * all holders, each grant could be too small for a single request.
   */
  private decideConsolidation(input: GrantPolicyInput): GrantDecision {
    const {unallocatedTokens, spendableTokens} = input;
    if (!input.isLargestHolder) {
      return {...NO_CHANGE, returnTokens: spendableTokens};
    }
    return unallocatedTokens > 0 && input.requestedTokens === 0
      ? {
          grantRequestTokens: unallocatedTokens,
          minimumTokens: 1,
          returnTokens: 0,
        }
      : NO_CHANGE;
  }

  private decideByDemand(input: GrantPolicyInput): GrantDecision {
    const target = this.targetTokens(input);
    const heldTokens = input.spendableTokens + input.requestedTokens;
    if (
      heldTokens < REFILL_THRESHOLD_FRACTION * target &&
      input.unallocatedTokens > 0
    ) {
      return {
        grantRequestTokens: Math.min(
          target - heldTokens,
          input.unallocatedTokens,
        ),
        minimumTokens: 1,
        returnTokens: 0,
      };
    }
    // Without a witness, the host may be cut off and get no more tokens until
    // the partition ends, so it keeps all that it has.
    const excessTokens = input.hasWitness ? input.spendableTokens - target : 0;
    return excessTokens > (RETURN_THRESHOLD_FACTOR - 1) * target
      ? {...NO_CHANGE, returnTokens: excessTokens}
      : NO_CHANGE;
  }

  /**
   * Returns the target for this holder's tokens. Without a witness the target
   * is small: if the host fails, its grant is stranded until an operator
   * releases it, and all other hosts refuse requests in the meantime.
   */
  private targetTokens(input: GrantPolicyInput): number {
    const idleReserveTokens =
      IDLE_RESERVE_BOUNDS * Math.max(1, input.largestBoundTokens);
    const share = this.shareOfRemaining(input, idleReserveTokens);
    return input.hasWitness
      ? this.targetTokensWithWitness(input, idleReserveTokens, share)
      : Math.floor(Math.min(idleReserveTokens, share));
  }

  private targetTokensWithWitness(
    input: GrantPolicyInput,
    idleReserveTokens: number,
    share: number,
  ): number {
    const targetFraction =
      input.preference === BudgetPreference.AVOID_UNCLEAR_BILLS
        ? AVOID_UNCLEAR_BILLS_TARGET_FRACTION
        : AVOID_REFUSALS_TARGET_FRACTION;
    const partitionDemandTokens =
      input.demandTokensPerSecond *
      input.partitionSeconds *
      PARTITION_DEMAND_FACTOR;
    const desiredTokens = Math.max(
      partitionDemandTokens,
      idleReserveTokens,
      targetFraction * share,
    );
    return Math.floor(Math.min(desiredTokens, share));
  }

  /**
   * Returns this holder's share of the remaining budget if the data centres
   * together want more than is left. The share is mostly proportional to
   * demand; idle holders keep a small reserve.
   */
  private shareOfRemaining(
    input: GrantPolicyInput,
    idleReserveTokens: number,
  ): number {
    const totalDemand = Math.max(
      input.totalDemandTokensPerSecond,
      input.demandTokensPerSecond,
    );
    const equalShare = input.remainingTokens / input.holders;
    if (totalDemand === 0) {
      return equalShare;
    }
    const demandShare =
      (input.remainingTokens * input.demandTokensPerSecond) / totalDemand;
    const blendedShare =
      EQUAL_SHARE_WEIGHT * equalShare + (1 - EQUAL_SHARE_WEIGHT) * demandShare;
    return Math.max(blendedShare, Math.min(idleReserveTokens, equalShare));
  }
}

import {
  DemandGrantPolicy,
  EqualSplitPolicy,
  type GrantPolicy,
} from './grant-policy.js';
import {ComparedOrganisation, Reach} from './policy-organisation.js';
import {
  COMPARED_FAILURE_SECONDS,
  COMPARED_USERS,
  ComparedCase,
  drawWorkload,
  type ComparedUser,
  type DrawnRequest,
} from './policy-workload.js';

/** The policies that are compared. */
export enum ComparedPolicy {
  /** An equal static share for each host. */
  EqualSplit = 'equal-split',
  /** The chosen one: by demand, for each data centre. */
  Demand = 'demand',
}

/** One point of the curve of false refusals. */
export interface PolicyPoint {
  readonly user: string;
  readonly case: ComparedCase;
  /** Budget left when the failure begins, over what the failure demands. */
  readonly budgetOverDemand: number;
  readonly policy: ComparedPolicy;
  readonly requests: number;
  /** Refused although the budget still covered the request. */
  readonly falseRefusals: number;
  readonly falseRefusalShare: number;
  /** Grants and returns in the run, for each thousand requests of it. */
  readonly grantAppendsPerThousandRequests: number;
  readonly overspentTokens: number;
}

/** Before the failure, so that demand is known. */
const WARM_UP_SECONDS = 1_200;
/** From half of what the failure demands to five times as much. */
const BUDGETS_OVER_DEMAND: readonly number[] = [
  0.5, 0.8, 1, 1.25, 1.5, 2, 3, 5,
];
/** The policy looks at each grant this often. */
const REVIEW_SECONDS = 5;
const THOUSAND = 1_000;

function policyOf(policy: ComparedPolicy): GrantPolicy {
  return policy === ComparedPolicy.EqualSplit
    ? new EqualSplitPolicy()
    : new DemandGrantPolicy();
}

function holderIndex(
  request: DrawnRequest,
  user: ComparedUser,
  policy: ComparedPolicy,
): number {
  return policy === ComparedPolicy.EqualSplit
    ? request.dataCenter * user.hostsPerDataCenter +
        Math.floor(request.hostFraction * user.hostsPerDataCenter)
    : request.dataCenter;
}

/** What each organisation uses before and during the failure. */
function usage(requests: readonly DrawnRequest[], organisation: number) {
  const own = requests.filter(request => request.organisation === organisation);
  const sum = (part: readonly DrawnRequest[]) =>
    part.reduce((total, request) => total + request.usedTokens, 0);
  return {
    before: sum(own.filter(request => request.second < WARM_UP_SECONDS)),
    during: sum(own.filter(request => request.second >= WARM_UP_SECONDS)),
  };
}

function reachAt(second: number, compared: ComparedCase): Reach {
  if (second < WARM_UP_SECONDS) {
    return Reach.Platform;
  }
  return compared === ComparedCase.Partition ? Reach.Nothing : Reach.Peers;
}

function measurePoint(
  user: ComparedUser,
  compared: ComparedCase,
  budgetOverDemand: number,
  policy: ComparedPolicy,
  requests: readonly DrawnRequest[],
): PolicyPoint {
  const holders =
    policy === ComparedPolicy.EqualSplit
      ? user.dataCenters * user.hostsPerDataCenter
      : user.dataCenters;
  const organisations = Array.from(
    {length: user.organisations},
    (_, organisation) => {
      const {before, during} = usage(requests, organisation);
      const budget = Math.ceil(before + budgetOverDemand * during);
      return new ComparedOrganisation(user, policyOf(policy), budget, holders);
    },
  );
  let falseRefusals = 0;
  let counted = 0;
  let reviewedAt = -REVIEW_SECONDS;
  for (const request of requests) {
    const {second} = request;
    if (second < WARM_UP_SECONDS && second >= reviewedAt + REVIEW_SECONDS) {
      reviewedAt = second;
      organisations.forEach(organisation => {
        organisation.holders.forEach(holder => {
          organisation.review(holder, second, 0);
        });
      });
    }
    const organisation = organisations[request.organisation];
    const holder = organisation?.holders[holderIndex(request, user, policy)];
    if (organisation === undefined || holder === undefined) {
      continue;
    }
    const reach = reachAt(second, compared);
    const served = organisation.serve(holder, request, second, reach);
    if (reach !== Reach.Platform) {
      counted += 1;
      if (!served && organisation.remaining >= request.boundTokens) {
        falseRefusals += 1;
      }
    }
  }
  const grantAppends = organisations.reduce(
    (sum, organisation) => sum + organisation.grantAppends,
    0,
  );
  return {
    user: user.name,
    case: compared,
    budgetOverDemand,
    policy,
    requests: counted,
    falseRefusals,
    falseRefusalShare: falseRefusals / counted,
    grantAppendsPerThousandRequests:
      (THOUSAND * grantAppends) / requests.length,
    overspentTokens: organisations.reduce(
      (sum, organisation) => sum + Math.max(0, -organisation.remaining),
      0,
    ),
  };
}

/**
 * Compares the grant policies under the same workloads, for both users: false
 * refusals in an hour's failure against the budget left when it begins.
 *
 * @param budgetsOverDemand Budget left, over what the failure demands.
 * @example
 * ```ts
 * for (const point of compareGrantPolicies(1)) console.log(point);
 * ```
 */
export function compareGrantPolicies(
  seed: number,
  budgetsOverDemand = BUDGETS_OVER_DEMAND,
): readonly PolicyPoint[] {
  return COMPARED_USERS.flatMap(user => {
    const requests = drawWorkload(
      user,
      WARM_UP_SECONDS + COMPARED_FAILURE_SECONDS,
      WARM_UP_SECONDS,
      seed,
    );
    return Object.values(ComparedCase).flatMap(compared =>
      budgetsOverDemand.flatMap(budgetOverDemand =>
        Object.values(ComparedPolicy).map(policy =>
          measurePoint(user, compared, budgetOverDemand, policy, requests),
        ),
      ),
    );
  });
}

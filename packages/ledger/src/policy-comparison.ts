import {
  DemandGrantPolicy,
  EqualSplitPolicy,
  type GrantPolicy,
} from './grant-policy.js';
import {Connectivity, SimulatedOrganisation} from './simulated-organisation.js';
import {
  SIMULATED_FAILURE_SECONDS,
  SIMULATED_FLEETS,
  FailureScenario,
  generateWorkload,
  type SimulatedFleet,
  type SimulatedRequest,
} from './simulated-workload.js';

/** The compared policies. */
export enum GrantPolicyName {
  /** `EqualSplitPolicy`, with one holder for each host. */
  EqualSplit = 'equal-split',
  /**
   * `DemandGrantPolicy`, the policy in use, with one holder for each data
   * centre.
   */
  Demand = 'demand',
}

/** The result of one simulation: one point of the curve of false refusals. */
export interface PolicyComparisonPoint {
  readonly user: string;
  readonly case: FailureScenario;
  /**
   * Budget left at the start of the failure, divided by the demand during it.
   */
  readonly budgetOverDemand: number;
  readonly policy: GrantPolicyName;
  readonly requests: number;
  /** Requests refused although the remaining budget covered their bound. */
  readonly falseRefusals: number;
  readonly falseRefusalShare: number;
  /** Appended grants and returns per thousand requests, over the whole run. */
  readonly grantAppendsPerThousandRequests: number;
  readonly overspentTokens: number;
}

/** Time before the failure, in which the demand estimates settle. */
const WARM_UP_SECONDS = 1_200;
/**
 * Budgets from half of the demand during the failure to five times that demand.
 */
const BUDGETS_OVER_DEMAND: readonly number[] = [
  0.5, 0.8, 1, 1.25, 1.5, 2, 3, 5,
];
/** Interval at which the policy reviews the grants of each holder. */
const REVIEW_INTERVAL_SECONDS = 5;
const THOUSAND = 1_000;

function createPolicy(policy: GrantPolicyName): GrantPolicy {
  return policy === GrantPolicyName.EqualSplit
    ? new EqualSplitPolicy()
    : new DemandGrantPolicy();
}

function holderIndex(
  request: SimulatedRequest,
  fleet: SimulatedFleet,
  policy: GrantPolicyName,
): number {
  return policy === GrantPolicyName.EqualSplit
    ? request.dataCenter * fleet.hostsPerDataCenter +
        Math.floor(request.hostFraction * fleet.hostsPerDataCenter)
    : request.dataCenter;
}

/**
 * Returns the tokens that an organisation uses before and during the failure.
 */
function usedTokens(
  requests: readonly SimulatedRequest[],
  organisation: number,
) {
  const own = requests.filter(request => request.organisation === organisation);
  const sum = (part: readonly SimulatedRequest[]) =>
    part.reduce((total, request) => total + request.usedTokens, 0);
  return {
    before: sum(own.filter(request => request.second < WARM_UP_SECONDS)),
    during: sum(own.filter(request => request.second >= WARM_UP_SECONDS)),
  };
}

function connectivityAt(
  second: number,
  scenario: FailureScenario,
): Connectivity {
  if (second < WARM_UP_SECONDS) {
    return Connectivity.Platform;
  }
  return scenario === FailureScenario.Partition
    ? Connectivity.None
    : Connectivity.Peers;
}

function measurePoint(
  fleet: SimulatedFleet,
  scenario: FailureScenario,
  budgetOverDemand: number,
  policy: GrantPolicyName,
  requests: readonly SimulatedRequest[],
): PolicyComparisonPoint {
  const holders =
    policy === GrantPolicyName.EqualSplit
      ? fleet.dataCenters * fleet.hostsPerDataCenter
      : fleet.dataCenters;
  const organisations = Array.from(
    {length: fleet.organisations},
    (_, organisation) => {
      const {before, during} = usedTokens(requests, organisation);
      const budget = Math.ceil(before + budgetOverDemand * during);
      return new SimulatedOrganisation(
        fleet,
        createPolicy(policy),
        budget,
        holders,
      );
    },
  );
  let falseRefusals = 0;
  let requestsDuringFailure = 0;
  let lastReviewSecond = -REVIEW_INTERVAL_SECONDS;
  for (const request of requests) {
    const {second} = request;
    if (
      second < WARM_UP_SECONDS &&
      second >= lastReviewSecond + REVIEW_INTERVAL_SECONDS
    ) {
      lastReviewSecond = second;
      organisations.forEach(organisation => {
        organisation.holders.forEach(holder => {
          organisation.review(holder, second, 0);
        });
      });
    }
    const organisation = organisations[request.organisation];
    const holder = organisation?.holders[holderIndex(request, fleet, policy)];
    if (organisation === undefined || holder === undefined) {
      continue;
    }
    const connectivity = connectivityAt(second, scenario);
    const served = organisation.serve(holder, request, second, connectivity);
    if (connectivity !== Connectivity.Platform) {
      requestsDuringFailure += 1;
      if (!served && organisation.remainingTokens >= request.boundTokens) {
        falseRefusals += 1;
      }
    }
  }
  const grantAppends = organisations.reduce(
    (sum, organisation) => sum + organisation.grantAppends,
    0,
  );
  return {
    user: fleet.name,
    case: scenario,
    budgetOverDemand,
    policy,
    requests: requestsDuringFailure,
    falseRefusals,
    falseRefusalShare: falseRefusals / requestsDuringFailure,
    grantAppendsPerThousandRequests:
      (THOUSAND * grantAppends) / requests.length,
    overspentTokens: organisations.reduce(
      (sum, organisation) => sum + Math.max(0, -organisation.remainingTokens),
      0,
    ),
  };
}

/**
 * Compares the grant policies under the same seeded workloads for all simulated
 * fleets: the false refusals during a failure of one hour, for each budget left
 * at its start.
 *
 * @param budgetsOverDemand Budgets left at the start of the failure, each
 *     divided by the demand during it.
 * @example
 * ```ts
 * for (const point of compareGrantPolicies(1)) console.log(point);
 * ```
 */
export function compareGrantPolicies(
  seed: number,
  budgetsOverDemand = BUDGETS_OVER_DEMAND,
): readonly PolicyComparisonPoint[] {
  return SIMULATED_FLEETS.flatMap(fleet => {
    const requests = generateWorkload(
      fleet,
      WARM_UP_SECONDS + SIMULATED_FAILURE_SECONDS,
      WARM_UP_SECONDS,
      seed,
    );
    return Object.values(FailureScenario).flatMap(scenario =>
      budgetsOverDemand.flatMap(budgetOverDemand =>
        Object.values(GrantPolicyName).map(policy =>
          measurePoint(fleet, scenario, budgetOverDemand, policy, requests),
        ),
      ),
    );
  });
}

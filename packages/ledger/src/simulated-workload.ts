import {BudgetPreference} from '@wisteriadeal/schema';

/** The fleet of one user in the comparison of grant policies. */
export interface SimulatedFleet {
  readonly name: string;
  readonly dataCenters: number;
  readonly hostsPerDataCenter: number;
  readonly organisations: number;
  readonly preference: BudgetPreference;
}

/** The current fleet sizes of both users. */
export const SIMULATED_FLEETS: readonly SimulatedFleet[] = [
  {
    name: 'ikaze',
    dataCenters: 4,
    hostsPerDataCenter: 2,
    organisations: 10,
    preference: BudgetPreference.AVOID_REFUSALS,
  },
  {
    name: 'gebremariam',
    dataCenters: 3,
    hostsPerDataCenter: 2,
    organisations: 10,
    preference: BudgetPreference.AVOID_UNCLEAR_BILLS,
  },
];

/** The simulated failure, which limits what holders can reach. */
export enum FailureScenario {
  /** Data centres can reach neither the platform nor one another. */
  Partition = 'partition',
  /** The platform is unavailable; data centres can reach one another. */
  PlatformOutage = 'platform-outage',
}

/** A request of a generated workload. */
export interface SimulatedRequest {
  readonly second: number;
  readonly organisation: number;
  readonly dataCenter: number;
  /**
   * Selects the host within the data centre; from 0 (included) to 1 (excluded).
   */
  readonly hostFraction: number;
  readonly boundTokens: number;
  readonly usedTokens: number;
}

const BOUND_TOKENS = 2_000;
const MINIMUM_USED_FRACTION = 0.1;
const MAXIMUM_USED_FRACTION = 0.6;
/** Request rate of the busiest organisation, summed over all data centres. */
const BUSIEST_ORGANISATION_REQUESTS_PER_SECOND = 1;
const FAILURE_SECONDS = 3_600;
const MINIMUM_DEMAND_CHANGE_FACTOR = 0.6;
const MAXIMUM_DEMAND_CHANGE_FACTOR = 1.4;

/** Seeded pseudorandom number generator (mulberry32), for reproducible runs. */
export class SeededRandom {
  constructor(private state: number) {}

  /** Returns a number from 0 (included) to 1 (excluded). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /**
   * Returns a uniformly distributed number from `low` (included) to `high`
   * (excluded).
   */
  between(low: number, high: number): number {
    return low + (high - low) * this.next();
  }
}

/**
 * Generates a workload. Demand is Zipf-distributed over organisations and split
 * by random shares over data centres. From `demandChangeSecond` on, the demand
 * of each organisation in each data centre changes by a random factor, so that
 * the rates measured before the failure are inaccurate.
 *
 * @param seconds Length of the workload.
 */
export function generateWorkload(
  fleet: SimulatedFleet,
  seconds: number,
  demandChangeSecond: number,
  seed: number,
): readonly SimulatedRequest[] {
  const random = new SeededRandom(seed);
  const requests: SimulatedRequest[] = [];
  for (
    let organisation = 0;
    organisation < fleet.organisations;
    organisation++
  ) {
    const shares = Array.from({length: fleet.dataCenters}, () =>
      random.between(0.05, 1),
    );
    const sum = shares.reduce((total, share) => total + share, 0);
    shares.forEach((share, dataCenter) => {
      const requestsPerSecond =
        (BUSIEST_ORGANISATION_REQUESTS_PER_SECOND * share) /
        sum /
        (organisation + 1);
      const demandChangeFactor = random.between(
        MINIMUM_DEMAND_CHANGE_FACTOR,
        MAXIMUM_DEMAND_CHANGE_FACTOR,
      );
      let arrivalSecond = 0;
      for (;;) {
        const currentRate =
          arrivalSecond < demandChangeSecond
            ? requestsPerSecond
            : requestsPerSecond * demandChangeFactor;
        arrivalSecond += -Math.log(1 - random.next()) / currentRate;
        if (arrivalSecond >= seconds) {
          break;
        }
        requests.push({
          second: Math.floor(arrivalSecond),
          organisation,
          dataCenter,
          hostFraction: random.next(),
          boundTokens: BOUND_TOKENS,
          usedTokens: Math.ceil(
            BOUND_TOKENS *
              random.between(MINIMUM_USED_FRACTION, MAXIMUM_USED_FRACTION),
          ),
        });
      }
    });
  }
  return requests.sort((one, other) => one.second - other.second);
}

/** Length of the simulated failure: one hour. */
export const SIMULATED_FAILURE_SECONDS = FAILURE_SECONDS;

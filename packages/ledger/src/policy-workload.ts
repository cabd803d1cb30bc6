import {BudgetPreference} from '@wisteriadeal/schema';

/** One user's fleet as the comparison of grant policies sees it. */
export interface ComparedUser {
  readonly name: string;
  readonly dataCenters: number;
  readonly hostsPerDataCenter: number;
  readonly organisations: number;
  readonly preference: BudgetPreference;
}

/** Today's sizes of both users. */
export const COMPARED_USERS: readonly ComparedUser[] = [
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

/** What the holders can still reach during the failure. */
export enum ComparedCase {
  /** Data centres see neither the platform nor one another. */
  Partition = 'partition',
  /** The platform is away; data centres see one another. */
  PlatformOutage = 'platform-outage',
}

/** One request of a drawn workload. */
export interface DrawnRequest {
  readonly second: number;
  readonly organisation: number;
  readonly dataCenter: number;
  /** Picks a host within the data centre; from 0 to 1. */
  readonly hostFraction: number;
  readonly boundTokens: number;
  readonly usedTokens: number;
}

const BOUND_TOKENS = 2_000;
const SMALLEST_USE = 0.1;
const LARGEST_USE = 0.6;
/** Requests a second of the busiest organisation in all data centres. */
const BUSIEST_RATE = 1;
const SECONDS_OF_SURGE = 3_600;
const SMALLEST_SURGE = 0.6;
const LARGEST_SURGE = 1.4;

/** A small seeded generator (mulberry32), so that runs repeat themselves. */
export class SeededFractions {
  constructor(private state: number) {}

  /** From 0 (included) to 1 (excluded). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /** Uniform between two numbers. */
  between(low: number, high: number): number {
    return low + (high - low) * this.next();
  }
}

/**
 * Draws a workload: organisations differ by a Zipf law, data centres by random
 * shares, and after `surgeAt` each pair's demand changes by a random factor, so
 * that what a policy learnt before the failure is somewhat wrong.
 */
export function drawWorkload(
  user: ComparedUser,
  seconds: number,
  surgeAt: number,
  seed: number,
): readonly DrawnRequest[] {
  const random = new SeededFractions(seed);
  const requests: DrawnRequest[] = [];
  for (
    let organisation = 0;
    organisation < user.organisations;
    organisation++
  ) {
    const shares = Array.from({length: user.dataCenters}, () =>
      random.between(0.05, 1),
    );
    const sum = shares.reduce((total, share) => total + share, 0);
    shares.forEach((share, dataCenter) => {
      const rate = (BUSIEST_RATE * share) / sum / (organisation + 1);
      const surge = random.between(SMALLEST_SURGE, LARGEST_SURGE);
      let at = 0;
      for (;;) {
        const now = at < surgeAt ? rate : rate * surge;
        at += -Math.log(1 - random.next()) / now;
        if (at >= seconds) {
          break;
        }
        requests.push({
          second: Math.floor(at),
          organisation,
          dataCenter,
          hostFraction: random.next(),
          boundTokens: BOUND_TOKENS,
          usedTokens: Math.ceil(
            BOUND_TOKENS * random.between(SMALLEST_USE, LARGEST_USE),
          ),
        });
      }
    });
  }
  return requests.sort((one, other) => one.second - other.second);
}

/** Length of the compared failure: an hour. */
export const COMPARED_FAILURE_SECONDS = SECONDS_OF_SURGE;

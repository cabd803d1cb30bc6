import {
  RecentPriorities,
  type HostPlace,
  type LimitAdmission,
  type RequestLimit,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';

import type {EndpointPlaces} from '../endpoint-places/index.js';
import type {KnownEndpoint} from '../known-endpoint.js';

/** Why an endpoint gets no request by what it has said of itself. */
export enum WithholdingReason {
  /** It limits the requests of all hosts, and this one has no turn. */
  Limit = 'limit',
  /** It has asked this host for rest. */
  Rest = 'rest',
  /** It must not have to refuse a request, and this host has no place there. */
  Room = 'room',
}

/** Dependencies of `StatedAdmission`. */
export interface StatedAdmissionParts {
  readonly limits: LimitAdmission;
  /** Places at endpoints that fall over if they have to refuse requests. */
  readonly places: EndpointPlaces;
  /** This host among those that send requests to the same endpoints. */
  readonly place: () => HostPlace;
  readonly clock: Clock;
}

/** Retry delays given to callers while no endpoint of a service takes requests. */
const MINIMUM_RETRY_MILLISECONDS = 300;
const MAXIMUM_RETRY_MILLISECONDS = 2_000;
/** Callers come back over this part of the delay after it. */
const SPREAD_SHARE = 0.5;

/**
 * Decides whether this host may send an endpoint a request, by what the endpoint has
 * said of itself. Every way to an endpoint asks here.
 */
export class StatedAdmission {
  private readonly priorities = new Map<string, RecentPriorities>();

  constructor(private readonly parts: StatedAdmissionParts) {}

  /**
   * Why the endpoint gets no request now; undefined if it may get one.
   *
   * @param yields Whether more urgent requests go first.
   */
  reasonAgainst(
    endpoint: KnownEndpoint,
    yields = false,
  ): WithholdingReason | undefined {
    const {limits, places, place, clock} = this.parts;
    if (!endpoint.conditions.rest.mayTake(clock.monotonicMilliseconds())) {
      return WithholdingReason.Rest;
    }
    if (!places.mayTake(endpoint)) {
      return WithholdingReason.Room;
    }
    const limit = limitOf(endpoint);
    return limit === undefined ||
      limits.mayAdmit(limit, place(), this.time(), yields)
      ? undefined
      : WithholdingReason.Limit;
  }

  /** Whether a request of this priority leaves what there is to more urgent ones. */
  yieldsTo(service: string, priority: number): boolean {
    const now = this.parts.clock.monotonicMilliseconds();
    const priorities = this.priorities.get(service) ?? new RecentPriorities();
    this.priorities.set(service, priorities);
    priorities.requested(priority, now);
    return priorities.hasMoreUrgent(priority, now);
  }

  /** Whether the endpoint has said that it is in need, so that it gets no copies. */
  isInNeed(endpoint: KnownEndpoint): boolean {
    return (
      limitOf(endpoint) !== undefined ||
      this.parts.places.isGuarded(endpoint.entry.service) ||
      this.reasonAgainst(endpoint) === WithholdingReason.Rest
    );
  }

  /** Places of requests, for those that wait for one. */
  get places(): EndpointPlaces {
    return this.parts.places;
  }

  /**
   * Records that a request was sent to the endpoint.
   *
   * @param tokens Upper bound on the tokens that it can use.
   */
  requestSent(endpoint: KnownEndpoint, tokens: number): void {
    this.parts.places.requestSent(endpoint, tokens);
    endpoint.conditions.rest.requestSent(this.time().monotonic);
    const limit = limitOf(endpoint);
    if (limit !== undefined) {
      const {limits, place} = this.parts;
      limits.admitted(limit, place(), this.time());
    }
  }

  /**
   * When a caller should come back after no endpoint was left, milliseconds: when the
   * first of them has room. Endpoints with a limit have it as soon as they take the next
   * request of any host, as another host may have that turn.
   *
   * @param fraction Random number from 0 to below 1, which spreads the callers.
   */
  retryAfterMilliseconds(
    endpoints: readonly KnownEndpoint[],
    fraction: number,
  ): number {
    const {monotonic} = this.time();
    const waits: number[] = [];
    let requestsPerSecond = 0;
    for (const {entry, conditions} of endpoints) {
      const rest = conditions.rest.remainingMilliseconds(monotonic);
      const limit = conditions.limit.value;
      if (rest > 0 || limit === undefined) {
        const {places} = this.parts;
        waits.push(Math.max(rest, places.expectedMilliseconds(entry.service)));
      } else {
        requestsPerSecond += limit;
      }
    }
    const milliseconds = Math.min(
      MAXIMUM_RETRY_MILLISECONDS,
      Math.max(
        MINIMUM_RETRY_MILLISECONDS,
        Math.min(1_000 / requestsPerSecond, ...waits),
      ),
    );
    return milliseconds * (1 + SPREAD_SHARE * fraction);
  }

  private time() {
    const {clock} = this.parts;
    return {
      monotonic: clock.monotonicMilliseconds(),
      timeOfDay: clock.wallMilliseconds(),
    };
  }
}

function limitOf({entry, conditions}: KnownEndpoint): RequestLimit | undefined {
  const requestsPerSecond = conditions.limit.value;
  return requestsPerSecond === undefined
    ? undefined
    : {id: entry.id, requestsPerSecond};
}

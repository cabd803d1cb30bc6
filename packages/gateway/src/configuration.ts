/** What may be repeated of a request on a route. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** May run at most once. */
  NonIdempotent = 'non-idempotent',
  /** Answers with a stream of events; runs at most once unless resumable. */
  Streaming = 'streaming',
}

/** A service that takes a part of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Which requests go where, and within which bounds. */
export interface Route {
  readonly name: string;
  /** In lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** A stream may go on at another endpoint after the last whole event. */
  readonly resumable: boolean;
  readonly services: readonly ServiceShare[];
  /** The longest that the operator wants a caller kept waiting, milliseconds. */
  readonly timeoutMilliseconds: number;
  /** The first byte is wanted within this, milliseconds. */
  readonly goalMilliseconds: number;
  /** The longest wanted pause between events, milliseconds; 0 where none is set. */
  readonly pauseGoalMilliseconds: number;
  /** Endpoints to which one request may be sent. */
  readonly maximumAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Needs no key. */
  readonly isPublic: boolean;
}

/** What is the same for all endpoints of a service. */
export interface ServiceDescription {
  readonly name: string;
  /** Connections that one endpoint accepts from all callers together. */
  readonly maximumConnections: number;
  /** Output tokens in one event of a stream; undefined for plain services. */
  readonly tokensPerEvent: number | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** A customer with a budget of its own. */
export interface Organisation {
  readonly name: string;
  readonly priority: number | undefined;
  /** Tokens of the day; undefined where the configuration sets no budget. */
  readonly prepaid: number | undefined;
}

/** One version of what the operator wants, whole. */
export interface FleetConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDescription>;
  readonly limits: CallerLimits;
  readonly organisations: readonly Organisation[];
  readonly organisationOfKey: ReadonlyMap<string, Organisation>;
}

/**
 * Picks among a host's routes the longest prefix that begins the path.
 *
 * @example
 * ```ts
 * const route = findRoute(configuration, 'shop.example', '/orders/17');
 * ```
 */
export function findRoute(
  configuration: FleetConfiguration,
  host: string,
  path: string,
): Route | undefined {
  let best: Route | undefined;
  for (const route of configuration.routes) {
    if (
      route.host === host &&
      path.startsWith(route.pathPrefix) &&
      route.pathPrefix.length > (best?.pathPrefix.length ?? -1)
    ) {
      best = route;
    }
  }
  return best;
}

/**
 * Picks the service of a request by the route's weights.
 *
 * @param fraction From 0 (included) to 1 (excluded).
 */
export function pickService(
  route: Route,
  fraction: number,
): string | undefined {
  const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
  let left = fraction * total;
  for (const {service, weight} of route.services) {
    left -= weight;
    if (left < 0) {
      return service;
    }
  }
  return route.services.at(-1)?.service;
}

/** Whether a route's requests may run more than once. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** May run at most once. */
  NonIdempotent = 'non-idempotent',
  /** Answers with a stream of events; runs at most once unless resumable. */
  Streaming = 'streaming',
}

/** A service that receives a weighted share of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/**
 * Routing rule: which services get the matching requests, and with which
 * limits.
 */
export interface Route {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /**
   * Whether a stream can be resumed at another endpoint after its last complete
   * event.
   */
  readonly resumable: boolean;
  readonly services: readonly ServiceShare[];
  /** Maximum time that a caller is kept waiting, milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Latency goal for the first byte, milliseconds. */
  readonly goalMilliseconds: number;
  /**
   * Goal for the longest pause between events, milliseconds; 0 if none is set.
   */
  readonly pauseGoalMilliseconds: number;
  /** Maximum number of endpoints that one request may be sent to. */
  readonly maximumAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Regions in which requests may run; undefined if all may. */
  readonly allowedRegions: readonly string[] | undefined;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
}

/** Properties of a service's model engines, as the configuration states them. */
export interface EngineDescription {
  /** Requests that one engine runs at once; undefined if not stated. */
  readonly slots: number | undefined;
  /** Tokens that running requests and cached prompt parts share; undefined if not stated. */
  readonly memoryTokens: number | undefined;
  /** Size of a token's key-value cache, bytes; undefined if not stated. */
  readonly bytesPerToken: number | undefined;
  /** Capacity of an engine's link, megabits per second; undefined if not stated. */
  readonly linkMegabitsPerSecond: number | undefined;
  /** Whether a run can be moved to another engine. */
  readonly supportsMoves: boolean;
  /** Whether a run's memory can be copied to another engine while it grows. */
  readonly supportsBackups: boolean;
  /** How long an engine keeps a copy of a run that has ended, milliseconds. */
  readonly handleMilliseconds: number;
}

/** Properties that all endpoints of a service share. */
export interface ServiceDescription {
  readonly name: string;
  /** Connections that one endpoint accepts from all clients together. */
  readonly maximumConnections: number;
  /** Output tokens per event of a stream; undefined for plain services. */
  readonly tokensPerEvent: number | undefined;
  /** How long an endpoint is cold after its start, milliseconds. */
  readonly coldStartMilliseconds: number;
  /**
   * Requests a second that a cold endpoint bears from all hosts together; 0 if
   * cold endpoints of the service need no limit.
   */
  readonly coldRequestsPerSecond: number;
  /** Undefined for plain services. */
  readonly engine: EngineDescription | undefined;
}

/** Limits on the size of callers' requests and on the time to send them. */
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
  /**
   * Prepaid tokens for the day; undefined if the configuration sets no budget.
   */
  readonly prepaid: number | undefined;
  /** Regions in which its requests may run; undefined if all may. */
  readonly allowedRegions: readonly string[] | undefined;
}

/** One complete version of the operator's configuration. */
export interface FleetConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDescription>;
  readonly limits: CallerLimits;
  readonly organisations: readonly Organisation[];
  readonly organisationOfKey: ReadonlyMap<string, Organisation>;
  /** Fields whose values are not usable, such as `routes.chat.priority`. */
  readonly ignoredFields: readonly string[];
}

/**
 * Finds the route of a host with the longest prefix of the path.
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
 * Selects the service of a request by the route's weights.
 *
 * @param fraction Random number from 0 (inclusive) to 1 (exclusive).
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

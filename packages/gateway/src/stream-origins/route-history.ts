import {
  findRoute,
  type FleetConfiguration,
  type Route,
} from '../configuration.js';

/** Routes that were in force until a time on the monotonic clock, milliseconds. */
interface ReplacedRoutes {
  readonly configuration: FleetConfiguration;
  readonly until: number;
}

/** Services that requests may have been sent to. */
export interface PastServices {
  readonly services: ReadonlySet<string>;
  /** Whether these are all. */
  readonly isComplete: boolean;
}

/** For how long the routes of a configuration have gone to the same services. */
export interface PastRoutes {
  readonly version: number;
  /** Milliseconds; infinite if there were no others before. */
  readonly unchangedMilliseconds: number;
}

/** Maximum number of replaced configurations; a large one takes megabytes. */
const MAXIMUM_REPLACED = 8;

/** The services to which the routes of past configurations went. */
export class RouteHistory {
  private inForce: FleetConfiguration | undefined;
  private readonly replaced: ReplacedRoutes[] = [];
  /** Nothing is known of the routes before this time. */
  private completeSince = Infinity;

  /** The configuration in force; undefined before there is one. */
  get current(): FleetConfiguration | undefined {
    return this.inForce;
  }

  /**
   * Records that a configuration is in force.
   *
   * @returns Whether some requests go to other services than before.
   */
  adopt(configuration: FleetConfiguration, now: number): boolean {
    const before = this.inForce;
    this.inForce = configuration;
    if (before === undefined) {
      this.completeSince = Math.min(this.completeSince, now);
      return false;
    }
    if (haveSameServices(before, configuration)) {
      return false;
    }
    this.replaced.push({configuration: before, until: now});
    if (this.replaced.length > MAXIMUM_REPLACED) {
      const {until} = this.replaced.shift() ?? {until: now};
      this.completeSince = Math.max(this.completeSince, until);
    }
    return true;
  }

  /** Records that no configuration has preceded those that this host has seen. */
  sawAll(): void {
    this.completeSince = -Infinity;
  }

  /** Records that configurations may have come and gone that this host has not seen. */
  missed(now: number): void {
    this.completeSince = now;
  }

  /** Adds what another host saw, if it has the same configuration in force. */
  learn({version, unchangedMilliseconds}: PastRoutes, now: number): void {
    if (version === this.inForce?.version) {
      this.completeSince = Math.min(
        this.completeSince,
        now - unchangedMilliseconds,
      );
    }
  }

  /** What another host learns that has just started; undefined before a configuration. */
  past(now: number): PastRoutes | undefined {
    const changedAt = this.replaced.at(-1)?.until ?? -Infinity;
    return (
      this.inForce && {
        version: this.inForce.version,
        unchangedMilliseconds: now - Math.max(this.completeSince, changedAt),
      }
    );
  }

  /** Whether all routes are known that were in force at a time or later. */
  isCompleteSince(since: number): boolean {
    return this.completeSince <= since;
  }

  /** The services to which requests for a host and path went since a time. */
  servicesOf(host: string, path: string, since: number): PastServices {
    const configurations = this.replaced
      .filter(({until}) => until >= since)
      .map(({configuration}) => configuration);
    if (this.inForce !== undefined) {
      configurations.push(this.inForce);
    }
    const services = configurations.flatMap(configuration =>
      servicesOfRoute(findRoute(configuration, host, path)),
    );
    return {
      services: new Set(services),
      isComplete: this.isCompleteSince(since),
    };
  }
}

/** The services that a route sends requests to. */
export function servicesOfRoute(route: Route | undefined): readonly string[] {
  return (route?.services ?? [])
    .filter(({weight}) => weight > 0)
    .map(({service}) => service);
}

function haveSameServices(
  one: FleetConfiguration,
  other: FleetConfiguration,
): boolean {
  const targets = targetsOf(one);
  const others = targetsOf(other);
  return (
    targets.size === others.size &&
    [...targets].every(([route, services]) => others.get(route) === services)
  );
}

/** The services of each route, by host and path. */
function targetsOf({routes}: FleetConfiguration): Map<string, string> {
  return new Map(
    routes.map(route => [
      `${route.host} ${route.pathPrefix}`,
      servicesOfRoute(route).join(' '),
    ]),
  );
}

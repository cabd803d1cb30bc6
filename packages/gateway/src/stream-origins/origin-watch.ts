import {
  BuildHistory,
  type OriginKnowledge,
  type PastBuilds,
  type StreamOrigin,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';

import {
  findRoute,
  type FleetConfiguration,
  type Route,
} from '../configuration.js';
import type {EndpointDirectory} from '../endpoint-directory.js';
import type {EndpointEntry} from '../endpoint-entry.js';
import type {KnownEndpoint} from '../known-endpoint.js';
import {RouteHistory, type PastRoutes} from './route-history.js';

/** Shortest time for which callers may take streams up, milliseconds. */
const MINIMUM_TAKE_UP_MILLISECONDS = 10_000;
/** Longest age of a list of endpoints that counts as current. */
const CURRENT_LIST_MILLISECONDS = 2_000;
/** Lost endpoints are back within this time, if at all. */
const RETURN_MILLISECONDS = 10_000;

/** What this host saw of what streams may have begun at. */
export type WatchedOrigins = Pick<
  OriginKnowledge,
  'possible' | 'hasWatched' | 'isCurrent'
>;

/** What a host saw of endpoints and routes, for one that has just started. */
export interface PastOrigins {
  readonly builds: PastBuilds;
  /** Undefined without a configuration. */
  readonly routes: PastRoutes | undefined;
}

/**
 * How long after the end of an attempt its caller may take the stream up,
 * milliseconds: a caller waits about as long as the route allows.
 */
export function takeUpMilliseconds({timeoutMilliseconds}: Route): number {
  return Math.max(timeoutMilliseconds, MINIMUM_TAKE_UP_MILLISECONDS);
}

/** How long ago a stream of a route may have begun that can be taken up, milliseconds. */
function longestStreamOf(route: Route): number {
  return route.timeoutMilliseconds + takeUpMilliseconds(route);
}

/** Watches which services and builds may have begun streams. */
export class OriginWatch {
  private readonly builds = new BuildHistory();
  private readonly routes = new RouteHistory();
  private onDiffer: (service: string | undefined) => void = () => undefined;

  constructor(
    private readonly directory: EndpointDirectory,
    private readonly clock: Clock,
  ) {
    directory.onRead(position => {
      this.builds.listRead(position, this.now());
    });
    const onEntry = (entry: EndpointEntry) => {
      if (this.builds.listed(entry, this.now())) {
        this.onDiffer(entry.service);
      }
    };
    directory.onListed(({entry}) => {
      onEntry(entry);
    });
    directory.onIgnored(onEntry);
    directory.onDropped(({entry}) => {
      // An unchanged entry is read once, however long the endpoint serves after it.
      this.builds.listed(entry, this.now());
    });
    directory.onGone(endpoint => {
      this.endpointGone(endpoint);
    });
  }

  /**
   * Sets the listener that is called when streams may begin at more than before: at
   * another build of a service, or at other services (undefined).
   */
  setDifferListener(listener: (service: string | undefined) => void): void {
    this.onDiffer = listener;
  }

  /** Records that a configuration is in force. */
  configurationAdopted(configuration: FleetConfiguration): void {
    if (this.routes.adopt(configuration, this.now())) {
      this.onDiffer(undefined);
    }
  }

  /** Records that no configuration has preceded those that this host has seen. */
  sawAllConfigurations(): void {
    this.routes.sawAll();
  }

  /** Records that configurations may have come and gone that this host has not seen. */
  missedConfigurations(): void {
    this.routes.missed(this.now());
  }

  /**
   * Adds what was seen before this host started.
   *
   * @returns Whether it was of use: nothing is missing between it and what this host
   *     saw itself.
   */
  learn({builds, routes}: PastOrigins): boolean {
    const now = this.now();
    const differing = this.builds.learn(builds, now);
    if (differing === undefined) {
      return false;
    }
    if (routes !== undefined) {
      this.routes.learn(routes, now);
    }
    for (const service of differing) {
      this.onDiffer(service);
    }
    return true;
  }

  /**
   * Whether what another host has watched and what this one has leave no gap, so that
   * together they have watched for as long as that one.
   *
   * @param position Every change of the list before this offset was read there.
   * @param version The configuration in force there.
   */
  isContinuedFrom(position: number, version: number): boolean {
    return (
      this.builds.isContinuedFrom(position) &&
      this.configurationVersion === version
    );
  }

  /** The configuration in force; undefined without one. */
  get configurationVersion(): number | undefined {
    return this.routes.current?.version;
  }

  /**
   * What this host saw.
   *
   * @param position Every change of the list before this offset was read.
   */
  past(position: number): PastOrigins {
    const now = this.now();
    for (const {entry} of this.directory.all) {
      // An unchanged entry is read once, however long the endpoint serves after it.
      this.builds.listed(entry, now);
    }
    return {
      builds: this.builds.past(position, now),
      routes: this.routes.past(now),
    };
  }

  /** Whether it is known what may have begun any stream that can be taken up now. */
  get isComplete(): boolean {
    const now = this.now();
    return (
      this.areRoutesComplete &&
      this.builds.isCompleteSince(now - this.longestOfAll, now)
    );
  }

  /** Whether it is known to which services any such stream may have gone. */
  get areRoutesComplete(): boolean {
    return this.routes.isCompleteSince(this.now() - this.longestOfAll);
  }

  /** What may have begun streams that callers of this host and path may take up now. */
  originsOf(host: string, path: string): WatchedOrigins {
    const now = this.now();
    const since = now - this.longestStream(host, path);
    const {services, isComplete} = this.routes.servicesOf(host, path, since);
    return {
      possible: [...services].flatMap(service =>
        this.buildsOf(service, since).map(build => ({service, build})),
      ),
      hasWatched: isComplete && this.builds.isCompleteSince(since, now),
      isCurrent:
        this.directory.listAgeMilliseconds <= CURRENT_LIST_MILLISECONDS,
    };
  }

  /** Whether an endpoint that has been lost may be back with the same build. */
  mayReturn(origin: StreamOrigin): boolean {
    return this.builds.wasLost(origin, this.now() - RETURN_MILLISECONDS);
  }

  /** Listed builds count however old their entries are: a lost store renews none. */
  private buildsOf(service: string, since: number): readonly string[] {
    const listed = this.directory.all
      .filter(({entry}) => entry.service === service)
      .map(({entry}) => entry.build);
    return [...new Set([...this.builds.buildsOf(service, since), ...listed])];
  }

  /** How long ago any stream may have begun that can be taken up, milliseconds. */
  private get longestOfAll(): number {
    return (this.routes.current?.routes ?? []).reduce(
      (most, route) => Math.max(most, longestStreamOf(route)),
      MINIMUM_TAKE_UP_MILLISECONDS,
    );
  }

  /** How long ago a stream may have begun that can still be taken up, milliseconds. */
  private longestStream(host: string, path: string): number {
    const {current} = this.routes;
    const route = current && findRoute(current, host, path);
    return route === undefined
      ? MINIMUM_TAKE_UP_MILLISECONDS
      : longestStreamOf(route);
  }

  private endpointGone({entry, isOpen}: KnownEndpoint): void {
    if (isOpen) {
      this.builds.lost(entry, this.now());
    }
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

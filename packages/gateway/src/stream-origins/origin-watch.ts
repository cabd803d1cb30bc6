import {
  BuildHistory,
  type OriginKnowledge,
  type StreamOrigin,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';

import {
  findRoute,
  type FleetConfiguration,
  type Route,
} from '../configuration.js';
import type {EndpointDirectory} from '../endpoint-directory.js';
import type {KnownEndpoint} from '../known-endpoint.js';
import {RouteHistory} from './route-history.js';

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

/**
 * How long after the end of an attempt its caller may take the stream up,
 * milliseconds: a caller waits about as long as the route allows.
 */
export function takeUpMilliseconds({timeoutMilliseconds}: Route): number {
  return Math.max(timeoutMilliseconds, MINIMUM_TAKE_UP_MILLISECONDS);
}

/** Watches which services and builds may have begun streams. */
export class OriginWatch {
  private readonly builds = new BuildHistory();
  private readonly routes = new RouteHistory();
  private listedSince = Infinity;
  private onDiffer: (service: string | undefined) => void = () => undefined;

  constructor(
    private readonly directory: EndpointDirectory,
    private readonly clock: Clock,
  ) {
    directory.onRead(() => {
      this.listedSince = Math.min(this.listedSince, this.now());
    });
    directory.onListed(({entry}) => {
      if (this.builds.listed(entry, this.now())) {
        this.onDiffer(entry.service);
      }
    });
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

  /** What may have begun streams that callers of this host and path may take up now. */
  originsOf(host: string, path: string): WatchedOrigins {
    const now = this.now();
    const since = now - this.longestStream(host, path);
    const {services, isComplete} = this.routes.servicesOf(host, path, since);
    return {
      possible: [...services].flatMap(service =>
        this.buildsOf(service, since).map(build => ({service, build})),
      ),
      hasWatched: isComplete && this.listedSince <= since,
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

  /** How long ago a stream may have begun that can still be taken up, milliseconds. */
  private longestStream(host: string, path: string): number {
    const {current} = this.routes;
    const route = current && findRoute(current, host, path);
    return route === undefined
      ? MINIMUM_TAKE_UP_MILLISECONDS
      : route.timeoutMilliseconds + takeUpMilliseconds(route);
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

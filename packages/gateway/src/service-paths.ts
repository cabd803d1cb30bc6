import {
  DataCenterCircuitBreaker,
  MINIMUM_CONNECTED_ENDPOINTS,
  MINIMUM_FAILED_ENDPOINTS,
  ServiceSilence,
} from '@wisteriadeal/decisions';
import type {Clock, HostLink} from '@wisteriadeal/platform';

import {ConnectTrials} from './connect-trials.js';
import type {EndpointConnectionPool} from './endpoint-connection-pool.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {KnownEndpoint} from './known-endpoint.js';
import {DirectPath, RelayedPath, type EndpointPath} from './endpoint-path.js';
import {RelayDirectory, type PeerHost} from './relay-directory.js';
import {RelayedConnectionPool} from './relayed-connection-pool.js';
import type {ServiceReachMonitor} from './service-reach-monitor.js';

/** Dependencies of `ServicePaths`. */
export interface ServicePathParts {
  readonly directory: EndpointDirectory;
  readonly reach: ServiceReachMonitor;
  /** Connections that this host opens itself. */
  readonly connections: EndpointConnectionPool;
  readonly link: HostLink;
  readonly clock: Clock;
  readonly dataCenter: string;
  /** Time from a host's stop signal to its end, the same for all hosts. */
  readonly stopGraceMilliseconds: number;
  /** Lists the hosts that may relay connections. */
  readonly peers: () => readonly PeerHost[];
  /** Returns random numbers in [0, 1). */
  readonly fraction: () => number;
}

/**
 * Decides over which path a request gets to its service: directly, or through another
 * host while this one has lost its own paths.
 */
export class ServicePaths {
  private readonly direct: DirectPath;
  private readonly relayed = new Map<string, RelayedPath>();
  private readonly silences = new Map<string, ServiceSilence>();
  private readonly trials: ConnectTrials;

  constructor(private readonly parts: ServicePathParts) {
    const {connections, dataCenter, reach} = parts;
    this.direct = new DirectPath(
      connections,
      new DataCenterCircuitBreaker(dataCenter),
    );
    this.trials = new ConnectTrials(parts);
    reach.onFailure(service => {
      this.trials.start(service, MINIMUM_FAILED_ENDPOINTS);
    });
    reach.onChange(service => {
      this.forgetFailures(service);
    });
  }

  /** The path for requests that begin now. */
  pathTo(service: string): EndpointPath {
    if (this.parts.reach.isReachable(service)) {
      return this.direct;
    }
    // Without requests there is no need to know whether the path is back.
    this.trials.start(service, MINIMUM_CONNECTED_ENDPOINTS);
    return this.relayedPath(service);
  }

  /**
   * The endpoints of a service that requests which begin now are sent to, as far as this
   * host has seen no failure; all if it has seen one at each.
   */
  availableEndpoints(service: string): readonly KnownEndpoint[] {
    const {directory, clock} = this.parts;
    const path = this.pathTo(service);
    const now = clock.monotonicMilliseconds();
    const open = directory.openEndpoints(service);
    const available = open.filter(endpoint => path.isAvailable(endpoint, now));
    return available.length === 0 ? open : available;
  }

  /**
   * The path to the endpoint that was chosen for a request: a connection that still
   * works is used although no new one can be opened.
   */
  pathToEndpoint(path: EndpointPath, {entry}: KnownEndpoint): EndpointPath {
    const {reach, connections} = this.parts;
    return reach.keepsConnections(entry.service) && connections.hasIdle(entry)
      ? this.direct
      : path;
  }

  /**
   * Finds out whether services are still reachable whose endpoints are all silent. Must
   * be called several times a second.
   */
  observe(): void {
    const {directory, reach, clock} = this.parts;
    const busyEndpoints = new Map<string, number>();
    for (const {entry, load} of directory.all) {
      const before = busyEndpoints.get(entry.service) ?? 0;
      busyEndpoints.set(entry.service, before + (load > 0 ? 1 : 0));
    }
    const now = clock.monotonicMilliseconds();
    for (const [service, count] of busyEndpoints) {
      const activity = {
        busyEndpoints: count,
        lastDataAt: reach.lastDataAt(service),
      };
      if (this.silenceOf(service).observe(activity, now)) {
        this.suspect(service);
      }
    }
  }

  /** Finds out whether a service is still reachable, because an endpoint is silent. */
  suspect(service: string): void {
    if (this.parts.reach.isReachable(service)) {
      this.trials.start(service, MINIMUM_FAILED_ENDPOINTS);
    }
  }

  /** Records that an endpoint has sent something. */
  dataReceived(path: EndpointPath, service: string): void {
    if (path === this.direct) {
      this.parts.reach.dataReceived(service);
    }
  }

  /**
   * Calls the listener when this host loses its paths to a service and the connections
   * that it has opened hang or are closed.
   *
   * @returns Removes the listener.
   */
  onLost(service: string, listener: () => void): () => void {
    const {reach} = this.parts;
    return reach.onChange(changed => {
      if (
        changed === service &&
        !reach.isReachable(service) &&
        !reach.keepsConnections(service)
      ) {
        listener();
      }
    });
  }

  /** Closes all relayed connections and ends all trials. */
  close(): void {
    this.trials.close();
    for (const {connections} of this.relayed.values()) {
      connections.destroy();
    }
  }

  /** Failures from the time when the host lost its paths don't hold for the endpoints. */
  private forgetFailures(service: string): void {
    for (const endpoint of this.parts.directory.openEndpoints(service)) {
      if (endpoint.breaker.isTripped) {
        endpoint.resetBreaker();
      }
      endpoint.warmth.pathRegained();
      this.direct.dataCenters.recordResponse(endpoint.entry.dataCenter);
    }
  }

  private silenceOf(service: string): ServiceSilence {
    let silence = this.silences.get(service);
    if (silence === undefined) {
      silence = new ServiceSilence();
      this.silences.set(service, silence);
    }
    return silence;
  }

  private relayedPath(service: string): RelayedPath {
    let path = this.relayed.get(service);
    if (path === undefined) {
      const {link, dataCenter, stopGraceMilliseconds} = this.parts;
      path = new RelayedPath(
        new RelayedConnectionPool(
          new RelayDirectory(this.parts),
          link,
          stopGraceMilliseconds,
        ),
        new DataCenterCircuitBreaker(dataCenter),
      );
      this.relayed.set(service, path);
    }
    return path;
  }
}

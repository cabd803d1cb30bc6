import {
  ReachByConnects,
  ReachState,
  type ReachPolicy,
} from '@wisteriadeal/decisions';
import {HostShortage, type Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {ConnectResult} from './connect-result.js';
import {ConnectObserver, type ConnectFailure} from './connect-observer.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointEntry} from './endpoint-entry.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {ShortageLog} from './shortage-log.js';

/** Dependencies of `ServiceReachMonitor`. */
export interface ServiceReachParts {
  readonly directory: EndpointDirectory;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly shortages: ShortageLog;
}

/** What is known of this host's paths to one service. */
interface ServiceReach {
  readonly policy: ReachPolicy;
  unreachableSince: number | undefined;
  lastDataAt: number;
}

/** Error code where no process listens at an address. */
const CONNECTION_REFUSED = 'ECONNREFUSED';

/** What another host may have, so that it can open the connection. */
const LACKED_HERE_ALONE: readonly HostShortage[] = [
  HostShortage.Port,
  HostShortage.Route,
];

/** Called with the name of a service. */
type ServiceListener = (service: string) => void;

/**
 * Tracks which services this host reaches, and logs each change. Without it, a
 * host that has lost its paths to all endpoints looks like a service that is
 * down.
 */
export class ServiceReachMonitor extends ConnectObserver {
  private readonly services = new Map<string, ServiceReach>();
  private readonly changeListeners = new Set<ServiceListener>();
  private readonly failureListeners = new Set<ServiceListener>();

  constructor(
    private readonly parts: ServiceReachParts,
    private readonly createPolicy: () => ReachPolicy = () =>
      new ReachByConnects(),
  ) {
    super();
  }

  /** Whether this host can open connections to the service's endpoints. */
  isReachable(service: string): boolean {
    const state = this.services.get(service)?.policy.state;
    return state !== ReachState.Unreachable;
  }

  /**
   * Whether connections that were opened earlier still work, as opposed to new
   * ones.
   */
  keepsConnections(service: string): boolean {
    const policy = this.services.get(service)?.policy;
    return policy?.keepsConnections(this.now()) ?? true;
  }

  /** Records data from a service on a connection that this host opened. */
  dataReceived(service: string): void {
    const reach = this.reachOf(service);
    reach.lastDataAt = this.now();
    reach.policy.recordData(reach.lastDataAt);
  }

  /** When `dataReceived` was last called for a service. */
  lastDataAt(service: string): number {
    return this.services.get(service)?.lastDataAt ?? -Infinity;
  }

  /**
   * Adds a listener for services that became unreachable, or reachable again.
   *
   * @returns Removes the listener.
   */
  onChange(listener: ServiceListener): () => void {
    this.changeListeners.add(listener);
    return () => {
      this.changeListeners.delete(listener);
    };
  }

  /** Adds a listener for failed connects to services that count as reachable. */
  onFailure(listener: ServiceListener): void {
    this.failureListeners.add(listener);
  }

  /** The services that this host does not reach. */
  get unreachableServices(): readonly string[] {
    return [...this.services.keys()].filter(name => !this.isReachable(name));
  }

  override connected(endpoint: EndpointEntry, startedAt: number): void {
    const {service} = endpoint;
    this.parts.directory.find(endpoint.id)?.warmth.accepted(startedAt);
    this.parts.metrics.connectEnded(service, ConnectResult.Connected);
    this.reachOf(service).policy.recordConnect(
      this.attempt(endpoint, startedAt),
      this.endpointCount(service),
    );
    this.reportChange(service);
  }

  override connectFailed(
    endpoint: EndpointEntry,
    {startedAt, reason, shortage}: ConnectFailure,
  ): void {
    const {service, id} = endpoint;
    this.parts.metrics.connectEnded(service, shortage ?? ConnectResult.Failed);
    if (shortage !== undefined) {
      this.parts.shortages.record(shortage, {service, endpoint: id, reason});
    }
    if (shortage !== undefined && !LACKED_HERE_ALONE.includes(shortage)) {
      return;
    }
    if (reason.includes(CONNECTION_REFUSED)) {
      this.parts.directory.find(endpoint.id)?.hasEnded(startedAt);
    }
    this.reachOf(service).policy.recordConnectFailure(
      this.attempt(endpoint, startedAt),
      this.endpointCount(service),
    );
    this.reportChange(service, {endpoint: endpoint.id, reason});
    if (this.isReachable(service)) {
      notify(this.failureListeners, service);
    }
  }

  override connectionsLost({id}: EndpointEntry): void {
    this.parts.directory.find(id)?.connectionsLost(this.now());
  }

  private attempt({id}: EndpointEntry, startedAt: number) {
    return {endpoint: id, startedAt, endedAt: this.now()};
  }

  private endpointCount(service: string): number {
    return this.parts.directory.openEndpoints(service).length;
  }

  private reportChange(
    service: string,
    cause: Readonly<Record<string, string>> = {},
  ): void {
    const reach = this.reachOf(service);
    const isReachable = this.isReachable(service);
    const {unreachableSince} = reach;
    if (isReachable === (unreachableSince === undefined)) {
      return;
    }
    if (unreachableSince === undefined) {
      reach.unreachableSince = this.now();
      this.parts.events.warn('service unreachable', {
        service,
        endpoints: this.endpointCount(service),
        ...cause,
      });
    } else {
      reach.unreachableSince = undefined;
      this.parts.events.info('service reachable again', {
        service,
        afterMilliseconds: Math.round(this.now() - unreachableSince),
      });
    }
    notify(this.changeListeners, service);
  }

  private reachOf(service: string): ServiceReach {
    let reach = this.services.get(service);
    if (reach === undefined) {
      reach = {
        policy: this.createPolicy(),
        unreachableSince: undefined,
        lastDataAt: -Infinity,
      };
      this.services.set(service, reach);
    }
    return reach;
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

function notify(
  listeners: ReadonlySet<ServiceListener>,
  service: string,
): void {
  for (const listener of [...listeners]) {
    listener(service);
  }
}

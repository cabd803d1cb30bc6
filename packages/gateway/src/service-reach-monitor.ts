import {
  ReachByConnects,
  ReachState,
  type ReachPolicy,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {ConnectObserver} from './connect-observer.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointEntry} from './endpoint-entry.js';
import type {GatewayMetrics} from './gateway-metrics.js';

/** Outcome of a connect, as a label of its metric. */
export enum ConnectResult {
  Connected = 'connected',
  Failed = 'failed',
}

/** Dependencies of `ServiceReachMonitor`. */
export interface ServiceReachParts {
  readonly directory: EndpointDirectory;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** What is known of this host's paths to one service. */
interface ServiceReach {
  readonly policy: ReachPolicy;
  unreachableSince: number | undefined;
}

/**
 * Tracks which services this host reaches, and logs each change. Without it, a
 * host that has lost its paths to all endpoints looks like a service that is
 * down.
 */
export class ServiceReachMonitor extends ConnectObserver {
  private readonly services = new Map<string, ServiceReach>();

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

  /** The services that this host does not reach. */
  get unreachableServices(): readonly string[] {
    return [...this.services.keys()].filter(name => !this.isReachable(name));
  }

  override connected(endpoint: EndpointEntry, startedAt: number): void {
    const {service} = endpoint;
    this.parts.metrics.connectEnded(service, ConnectResult.Connected);
    this.reachOf(service).policy.recordConnect(
      this.attempt(endpoint, startedAt),
      this.endpointCount(service),
    );
    this.logChange(service);
  }

  override connectFailed(
    endpoint: EndpointEntry,
    startedAt: number,
    reason: string,
  ): void {
    const {service} = endpoint;
    this.parts.metrics.connectEnded(service, ConnectResult.Failed);
    this.reachOf(service).policy.recordConnectFailure(
      this.attempt(endpoint, startedAt),
      this.endpointCount(service),
    );
    this.logChange(service, {endpoint: endpoint.id, reason});
  }

  private attempt({id}: EndpointEntry, startedAt: number) {
    return {endpoint: id, startedAt, endedAt: this.now()};
  }

  private endpointCount(service: string): number {
    return this.parts.directory.openEndpoints(service).length;
  }

  private logChange(
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
  }

  private reachOf(service: string): ServiceReach {
    let reach = this.services.get(service);
    if (reach === undefined) {
      reach = {policy: this.createPolicy(), unreachableSince: undefined};
      this.services.set(service, reach);
    }
    return reach;
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

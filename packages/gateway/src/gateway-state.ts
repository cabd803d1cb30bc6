import {ConfigurationTrust} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {JsonValue} from '@wisteriadeal/runtime';

import type {BudgetHolder} from './budget-holder.js';
import type {CallerServer} from './caller-server.js';
import type {ConfigurationState} from './configuration-state.js';
import type {EndpointConnectionPool} from './endpoint-connection-pool.js';
import type {EvacuationState} from './evacuation/index.js';
import type {EndpointPlaces} from './endpoint-places/index.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {HostConnections} from './host-connections.js';
import type {HostRotation} from './host-rotation.js';
import type {InputAccount} from './input-memory/index.js';
import type {LinkMonitor} from './link-monitor.js';
import {GatewayStatus} from './status-server.js';
import type {StreamOriginRegistry} from './stream-origins/index.js';
import type {SuspectRegistry} from './crashes/index.js';
import type {TunnelServer} from './tunnel-server.js';
import type {ServiceReachMonitor} from './service-reach-monitor.js';
import type {StoreHealth} from './store-health.js';

/** This host's view of the store's health, by topic. */
export interface TopicHealth {
  readonly budgets: StoreHealth;
  readonly endpoints: StoreHealth;
  readonly configuration: StoreHealth;
}

/** A gateway's status for the platform's probes and for operators. */
export class GatewayState extends GatewayStatus {
  private isStopping = false;

  constructor(
    private readonly configuration: ConfigurationState,
    private readonly evacuations: EvacuationState,
    private readonly directory: EndpointDirectory,
    private readonly budgets: BudgetHolder,
    private readonly callers: CallerServer,
    private readonly health: TopicHealth,
    private readonly metrics: GatewayMetrics,
    private readonly link: LinkMonitor,
    private readonly rotation: HostRotation,
    private readonly connections: EndpointConnectionPool,
    private readonly reach: ServiceReachMonitor,
    private readonly tunnels: TunnelServer,
    private readonly suspects: SuspectRegistry,
    private readonly origins: StreamOriginRegistry,
    private readonly account: InputAccount,
    private readonly places: EndpointPlaces,
    private readonly hostConnections: HostConnections,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Reports not ready from now on. */
  beginStop(): void {
    this.isStopping = true;
  }

  override isReady(): boolean {
    return (
      !this.isStopping &&
      this.rotation.acceptsConnections &&
      !this.hostConnections.isRoomTaken &&
      this.budgets.isReady &&
      this.budgets.mayUseGrants &&
      this.configuration.current !== undefined &&
      this.configuration.trust !== ConfigurationTrust.Outdated &&
      this.directory.all.length > 0
    );
  }

  override readinessAnswered(isReady: boolean): void {
    this.rotation.recordProbe(isReady);
  }

  override dump(): JsonValue {
    const now = this.clock.monotonicMilliseconds();
    const configuration = this.configuration.current;
    return {
      ready: this.isReady(),
      stopping: this.isStopping,
      rotation: this.rotation.state,
      configuration: configuration?.version ?? null,
      configurationTrust: this.configuration.trust,
      away: {
        budgets: this.health.budgets.isUnavailable,
        endpoints: this.health.endpoints.isUnavailable,
        configuration: this.health.configuration.isUnavailable,
      },
      budgetAnswerAgeMilliseconds: Math.round(
        this.health.budgets.answerAgeMilliseconds(now),
      ),
      configurationAnswerAgeMilliseconds: Math.round(
        this.health.configuration.answerAgeMilliseconds(now),
      ),
      openRequests: this.callers.openRequests,
      evacuatedDataCenters: [...this.evacuations.dataCenters],
      evacuationsAgeMilliseconds: Math.round(this.evacuations.ageMilliseconds),
      unreachableServices: [...this.reach.unreachableServices],
      tunnels: this.tunnels.openTunnels,
      crashSuspects: this.suspects.subjectCount,
      streamOrigins: this.origins.streamCount,
      heldBytes: this.account.describe(),
      connections: this.hostConnections.known,
      roomTaken: this.hostConnections.isRoomTaken,
      endpoints: this.directory.all.map(
        ({entry, load, breaker, warmth, conditions}) => ({
          id: entry.id,
          service: entry.service,
          build: entry.build,
          leaving: entry.isLeaving,
          saysItLeaves: conditions.isLeaving,
          restMilliseconds: Math.round(
            conditions.rest.remainingMilliseconds(now),
          ),
          cold: warmth.isCold(now),
          requestsPerSecond: conditions.limit.value ?? null,
          refusalsPerSecond: conditions.brittleness.value ?? null,
          load,
          trusted: breaker.isAvailable(now),
          failedShare: breaker.failedShare,
        }),
      ),
      budgets: Object.fromEntries(
        (configuration?.organisations ?? []).map(({name}) => [
          name,
          this.budgets.describe(name) ?? null,
        ]),
      ),
    };
  }

  override refreshGauges(): void {
    const now = this.clock.monotonicMilliseconds();
    this.metrics.setState('open_requests', this.callers.openRequests);
    this.metrics.setState('ready', this.isReady() ? 1 : 0);
    for (const [topic, health] of [
      ['budgets', this.health.budgets],
      ['endpoints', this.health.endpoints],
      ['configuration', this.health.configuration],
    ] as const) {
      this.metrics.setState(`${topic}_away`, health.isUnavailable ? 1 : 0);
      this.metrics.setState(
        `${topic}_answer_age_ms`,
        health.answerAgeMilliseconds(now),
      );
    }
    this.metrics.setState('link_received_bytes', this.link.receivedBytes);
    this.metrics.setState('link_sent_bytes', this.link.sentBytes);
    this.metrics.setState(
      'link_received_bytes_a_second',
      this.link.bytesPerSecond,
    );
    this.metrics.setState(
      'endpoint_connect_ms',
      this.connections.connectMilliseconds,
    );
    this.metrics.setState('link_full', this.link.isFull ? 1 : 0);
    this.metrics.setState('link_delay_ms', this.link.delayMilliseconds);
    this.metrics.setState(
      'in_rotation',
      this.rotation.acceptsConnections ? 1 : 0,
    );
    this.metrics.setState(
      'room_taken',
      this.hostConnections.isRoomTaken ? 1 : 0,
    );
    this.metrics.setState(
      'loop_saturated',
      this.rotation.isLoopSaturated ? 1 : 0,
    );
    this.metrics.setState(
      'unreachable_services',
      this.reach.unreachableServices.length,
    );
    this.metrics.setState(
      'evacuated_data_centers',
      this.evacuations.dataCenters.length,
    );
    this.metrics.setState(
      'cold_endpoints',
      this.directory.all.filter(({warmth}) => warmth.isCold(now)).length,
    );
    this.metrics.setState(
      'endpoints_limited',
      this.directory.all.filter(
        ({conditions}) => conditions.limit.value !== undefined,
      ).length,
    );
    this.metrics.setState(
      'endpoints_brittle',
      this.directory.all.filter(
        ({conditions}) => conditions.brittleness.value !== undefined,
      ).length,
    );
    this.metrics.setState(
      'endpoints_leaving',
      this.directory.all.filter(
        ({entry, conditions}) => entry.isLeaving || conditions.isLeaving,
      ).length,
    );
    this.metrics.setState(
      'endpoints_at_rest',
      this.directory.all.filter(
        ({conditions}) => conditions.rest.remainingMilliseconds(now) > 0,
      ).length,
    );
    this.metrics.setState('waiting_for_places', this.places.waiting);
    for (const [kind, count] of Object.entries(this.hostConnections.known)) {
      this.metrics.setState(`connections_${kind}`, count);
    }
    this.metrics.setState('tunnels', this.tunnels.openTunnels);
    this.metrics.setState('crash_suspects', this.suspects.subjectCount);
    this.metrics.setState('stream_origins', this.origins.streamCount);
    this.metrics.setState('endpoints', this.directory.all.length);
    this.metrics.setState('budget_holders', this.budgets.holderCount);
    for (const [kind, bytes] of Object.entries(this.account.describe())) {
      this.metrics.setState(`held_bytes_${kind}`, bytes);
    }
    this.metrics.setState('resident_bytes', process.memoryUsage.rss());
    this.metrics.setState(
      'configuration_trusted',
      this.configuration.trust === ConfigurationTrust.Current ? 1 : 0,
    );
    const version = this.configuration.current?.version ?? -1;
    this.metrics.setState('configuration_version', version);
  }
}

import type {Clock} from '@wisteriadeal/platform';
import type {JsonValue} from '@wisteriadeal/runtime';

import type {BudgetHolder} from './budget-holder.js';
import type {CallerServer} from './caller-server.js';
import type {ConfigurationState} from './configuration-state.js';
import type {EndpointConnections} from './endpoint-connections.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {HostRotation} from './host-rotation.js';
import type {LinkWatch} from './link-watch.js';
import {GatewayStatus} from './status-server.js';
import type {StoreHealth} from './store-health.js';

/** The store as this host sees it, by what is read there. */
export interface TopicHealth {
  readonly budgets: StoreHealth;
  readonly endpoints: StoreHealth;
  readonly configuration: StoreHealth;
}

/** What a gateway tells of itself, to the platform and to people. */
export class GatewayState extends GatewayStatus {
  private isStopping = false;

  constructor(
    private readonly configuration: ConfigurationState,
    private readonly directory: EndpointDirectory,
    private readonly budgets: BudgetHolder,
    private readonly callers: CallerServer,
    private readonly health: TopicHealth,
    private readonly metrics: GatewayMetrics,
    private readonly link: LinkWatch,
    private readonly rotation: HostRotation,
    private readonly connections: EndpointConnections,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Not ready from now on. */
  beginStop(): void {
    this.isStopping = true;
  }

  override isReady(): boolean {
    return (
      !this.isStopping &&
      this.rotation.takesConnections &&
      this.budgets.isReady &&
      this.configuration.current !== undefined &&
      this.directory.all.length > 0
    );
  }

  override probed(isReady: boolean): void {
    this.rotation.probed(isReady);
  }

  override dump(): JsonValue {
    const now = this.clock.monotonicMilliseconds();
    const configuration = this.configuration.current;
    return {
      ready: this.isReady(),
      stopping: this.isStopping,
      rotation: this.rotation.state,
      configuration: configuration?.version ?? null,
      away: {
        budgets: this.health.budgets.isAway,
        endpoints: this.health.endpoints.isAway,
        configuration: this.health.configuration.isAway,
      },
      budgetAnswerAgeMilliseconds: Math.round(
        this.health.budgets.answerAge(now),
      ),
      configurationAnswerAgeMilliseconds: Math.round(
        this.health.configuration.answerAge(now),
      ),
      openRequests: this.callers.openRequests,
      endpoints: this.directory.all.map(({entry, load, trust}) => ({
        id: entry.id,
        service: entry.service,
        leaving: entry.isLeaving,
        load,
        trusted: trust.isTrusted(now),
        failedShare: trust.failedShare,
      })),
      budgets: Object.fromEntries(
        (configuration?.organisations ?? []).map(({name}) => [
          name,
          this.budgets.describe(name) ?? null,
        ]),
      ),
    };
  }

  override refresh(): void {
    const now = this.clock.monotonicMilliseconds();
    this.metrics.state('open_requests', this.callers.openRequests);
    this.metrics.state('ready', this.isReady() ? 1 : 0);
    for (const [topic, health] of [
      ['budgets', this.health.budgets],
      ['endpoints', this.health.endpoints],
      ['configuration', this.health.configuration],
    ] as const) {
      this.metrics.state(`${topic}_away`, health.isAway ? 1 : 0);
      this.metrics.state(`${topic}_answer_age_ms`, health.answerAge(now));
    }
    this.metrics.state('link_received_bytes', this.link.receivedBytes);
    this.metrics.state('link_sent_bytes', this.link.sentBytes);
    this.metrics.state(
      'link_received_bytes_a_second',
      this.link.bytesPerSecond,
    );
    this.metrics.state(
      'endpoint_connect_ms',
      this.connections.connectMilliseconds,
    );
    this.metrics.state('link_full', this.link.isFull ? 1 : 0);
    this.metrics.state('link_delay_ms', this.link.delayMilliseconds);
    this.metrics.state('in_rotation', this.rotation.takesConnections ? 1 : 0);
    this.metrics.state('endpoints', this.directory.all.length);
    this.metrics.state('budget_holders', this.budgets.holders);
    this.metrics.state('resident_bytes', process.memoryUsage.rss());
    const version = this.configuration.current?.version ?? -1;
    this.metrics.state('configuration_version', version);
  }
}

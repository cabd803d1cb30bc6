import {DemandSizing} from '@wisteriadeal/budgets';
import {
  ColdTurns,
  configurationReadWait,
  endpointReadPause,
  sharedReadInterval,
  hostPlace,
  type HostPlace,
  LimitTurns,
  LoopSaturation,
  PartPopularity,
  WithdrawWhileOverloaded,
} from '@wisteriadeal/decisions';
import type {Clock, PartitionedLog, RandomSource} from '@wisteriadeal/platform';
import type {EventLog, JsonValue, RunningBinary} from '@wisteriadeal/runtime';
import type {GatewaySettings} from '@wisteriadeal/schema';

import {EngineAdmissions} from './admission/index.js';
import {BillWriter} from './bill-writer.js';
import {BudgetHolder} from './budget-holder.js';
import {BudgetJournal} from './budget-journal.js';
import {BudgetReplica} from './budget-replica.js';
import type {CallerListener} from './caller-listener.js';
import {CallerServer} from './caller-server.js';
import {CombinedTopicReader} from './combined-topic-reader.js';
import {ConfigurationState} from './configuration-state.js';
import {
  ConnectSuspectPeers,
  CrashDetector,
  SuspectArchive,
  SuspectRegistry,
} from './crashes/index.js';
import {EndpointLeavings, RunCopies} from './continuation/index.js';
import {ServiceSpeeds} from './balancing/index.js';
import type {Dialect} from './dialect.js';
import {EndpointConnectionPool} from './endpoint-connection-pool.js';
import type {PlacementRules} from './endpoint-chooser.js';
import {ConnectPlacePeers, EndpointPlaces} from './endpoint-places/index.js';
import {EndpointDirectory} from './endpoint-directory.js';
import {StatedAdmission} from './endpoint-statements/index.js';
import {EvacuationState} from './evacuation/index.js';
import {gatewayLimits} from './gateway-limits.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {GatewayState, type TopicHealth} from './gateway-state.js';
import type {GatewayNames} from './gateway-names.js';
import {HostConnections} from './host-connections.js';
import {HostRotation} from './host-rotation.js';
import {InputAccount, memoryLog} from './input-memory/index.js';
import {KeyedTopicFollower} from './keyed-follower.js';
import {GracefulStop} from './graceful-stop.js';
import type {HostTraffic} from './host-traffic.js';
import {LinkMonitor} from './link-monitor.js';
import {listenAddress} from './listening.js';
import {OpenRequests} from './open-requests/index.js';
import {ConnectLoanPeers} from './loan-peers.js';
import {LoopLag} from './loop-lag.js';
import {PeerServer} from './peer-server.js';
import {ProcessTraffic} from './process-traffic.js';
import {RequestHandler} from './request-handler.js';
import {LoopWithdrawal} from './rotation/index.js';
import {UndeliveredCharge} from './request-record.js';
import type {PeerHost} from './relay-directory.js';
import {ServicePaths} from './service-paths.js';
import {ServiceReachMonitor} from './service-reach-monitor.js';
import {ShortageLog} from './shortage-log.js';
import {StartGate} from './start-gate.js';
import {StatusServer} from './status-server.js';
import {StoreHealth} from './store-health.js';
import {
  ConnectStreamOriginPeers,
  ConfigurationSequence,
  OriginWatch,
  PastOriginsSource,
  StreamOriginRegistry,
  StreamStarts,
  type StreamOriginPeers,
} from './stream-origins/index.js';
import {
  ConnectTopicCopyPeers,
  TopicCatchUp,
  TopicCopies,
  type TopicCopyPeers,
} from './topic-copies/index.js';
import {TunnelServer} from './tunnel-server.js';

/** Dependencies of a gateway. */
export interface GatewayParts {
  readonly settings: GatewaySettings;
  readonly names: GatewayNames;
  readonly dialect: Dialect;
  readonly log: PartitionedLog;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  /** Listener for callers; may already be listening. */
  readonly callerListener: CallerListener;
  /** Traffic of the host; by default that of this process. */
  readonly traffic?: HostTraffic;
}

/** Number of budget checkpoints within the store's retention period. */
const CHECKPOINTS_PER_RETENTION = 5;
/** Data that a process needs before it can serve requests. */
enum StartRequirement {
  Configuration = 'configuration',
  Endpoints = 'endpoints',
  Suspects = 'suspects',
}

/**
 * Requests wait at most this long after the start for configuration, endpoints
 * and suspects, which take a few calls to the store of 4 ms each when it is
 * healthy.
 */
const START_GATE_TIMEOUT_MILLISECONDS = 400;
/** Requests wait at most this long for what has changed in the store. */
const CHANGES_READ_MILLISECONDS = 800;

/** The gateway process of an entry host. */
export class Gateway implements RunningBinary<GatewaySettings> {
  private readonly health: TopicHealth;
  private readonly state: GatewayState;
  private readonly configuration: ConfigurationState;
  private readonly evacuations: EvacuationState;
  private readonly directory: EndpointDirectory;
  private readonly budgets: BudgetHolder;
  private readonly bills: BillWriter;
  private readonly requests: OpenRequests;
  private readonly handler: RequestHandler;
  private readonly callers: CallerServer;
  private readonly hostConnections: HostConnections;
  private readonly status: StatusServer;
  private readonly configurationFollower: KeyedTopicFollower;
  private readonly endpointFollower: KeyedTopicFollower;
  private readonly copyPeers: TopicCopyPeers;
  private readonly connections: EndpointConnectionPool;
  private readonly metrics = new GatewayMetrics();
  private readonly link: LinkMonitor;
  private readonly reach: ServiceReachMonitor;
  private readonly rotation: HostRotation;
  private readonly loopSaturation = new LoopSaturation();
  private readonly gate = new StartGate(Object.values(StartRequirement));
  private readonly paths: ServicePaths;
  private readonly tunnels: TunnelServer;
  private readonly crashes: CrashDetector;
  private readonly suspects: SuspectRegistry;
  private readonly originWatch: OriginWatch;
  private readonly originPeers: StreamOriginPeers;
  private readonly origins: StreamOriginRegistry;
  private readonly pastOrigins: PastOriginsSource;
  private readonly account: InputAccount;
  private readonly places: EndpointPlaces;
  private peerServer: PeerServer | undefined;

  constructor(private readonly parts: GatewayParts) {
    const {settings, names, dialect, log, clock, events} = parts;
    this.link = this.createLink();
    this.account = new InputAccount({
      capacityBytes: gatewayLimits(settings).inputCapacityBytes,
      onEnded: memoryLog(events),
    });
    this.connections = new EndpointConnectionPool(this.link);
    log.useLink(this.link);
    this.health = this.createHealth();
    this.rotation = this.createRotation();
    this.configuration = new ConfigurationState({
      key: names.configurationKey,
      dialect,
      applyMilliseconds: gatewayLimits(settings).configurationApplyMilliseconds,
      isStoreOutage: () => this.health.configuration.isOutage,
      clock,
      events,
    });
    this.evacuations = new EvacuationState({
      keyPrefix: names.evacuationKeyPrefix,
      dialect,
      metrics: this.metrics,
      clock,
      events,
    });
    this.directory = this.createDirectory();
    this.evacuations.onEnd(dataCenter => {
      this.directory.becameCold(dataCenter);
    });
    const {directory, metrics} = this;
    this.reach = new ServiceReachMonitor({
      directory,
      metrics,
      clock,
      events,
      shortages: new ShortageLog({
        clock,
        events,
        describeHost: () => this.hostConnections.known,
      }),
    });
    this.connections.setConnectObserver(this.reach);
    this.budgets = this.createBudgets();
    this.paths = this.createPaths();
    this.tunnels = new TunnelServer({
      directory,
      reach: this.reach,
      connections: this.connections,
      metrics,
      isFull: () =>
        this.link.isFull ||
        !this.rotation.acceptsConnections ||
        !this.hostConnections.hasTunnelRoom,
    });
    this.places = this.createPlaces();
    directory.statements.onBrittleness((endpoint, isBrittle, sentAt) => {
      this.places.answered(endpoint, isBrittle, sentAt);
    });
    this.suspects = this.createSuspects();
    this.originWatch = new OriginWatch(directory, clock);
    this.originPeers = new ConnectStreamOriginPeers(this.link);
    this.origins = this.createOrigins();
    this.pastOrigins = this.createPastOrigins();
    this.crashes = new CrashDetector({
      connections: this.connections,
      clock,
      onCrash: crash => {
        directory.endpointEnded(crash.endpoint, crash.at);
        this.suspects.endpointCrashed(crash);
      },
    });
    directory.onGone(({incarnation}) => {
      this.crashes.endpointGone(incarnation);
    });
    directory.onHeartbeat(({incarnation}, writtenAfter) => {
      this.crashes.endpointLived(incarnation, writtenAfter);
      this.suspects.endpointLived(incarnation, writtenAfter);
    });
    this.bills = new BillWriter(settings.host, log, clock, events);
    this.requests = new OpenRequests(clock, events);
    this.handler = this.createHandler();
    this.callers = new CallerServer(
      parts.callerListener,
      dialect,
      this.handler,
      this.requests,
      this.gate,
      this.rotation,
      this.metrics,
      clock,
      events,
      this.account,
    );
    this.hostConnections = new HostConnections({
      callers: this.callers,
      connections: this.connections,
      tunnels: this.tunnels,
      events,
      connectionLimit: gatewayLimits(settings).connectionLimit,
    });
    this.callers.limitConnections({
      minimum: this.hostConnections.minimumCallerRoom,
      current: () => this.hostConnections.callerRoom,
      increase: count => this.hostConnections.increaseCallerRoom(count),
    });
    this.state = new GatewayState(
      this.configuration,
      this.evacuations,
      this.directory,
      this.budgets,
      this.callers,
      this.health,
      this.metrics,
      this.link,
      this.rotation,
      this.connections,
      this.reach,
      this.tunnels,
      this.suspects,
      this.origins,
      this.account,
      this.places,
      this.hostConnections,
      clock,
    );
    this.status = new StatusServer(
      names.readyPath,
      this.state,
      this.metrics,
      events,
    );
    this.copyPeers = new ConnectTopicCopyPeers(this.link);
    this.configurationFollower = this.createConfigurationFollower();
    this.endpointFollower = this.createEndpointFollower();
    this.link.setSampleListener(() => {
      this.observeLoad();
    });
    this.directory.onRead(() => {
      this.gate.requirementMet(StartRequirement.Endpoints);
    });
    this.configuration.onChange(configuration => {
      this.gate.requirementMet(StartRequirement.Configuration);
      this.originWatch.configurationAdopted(configuration);
      this.budgets.configure(configuration);
      this.callers.applyLimits(configuration.limits);
    });
  }

  /** Starts listening and following the store. */
  async start(): Promise<void> {
    const {settings, events} = this.parts;
    this.gate.openAfter(START_GATE_TIMEOUT_MILLISECONDS);
    void this.gate.whenOpen().then(() => {
      this.logMissingConfiguration();
    });
    this.link.start();
    await this.callers.listen(listenAddress(settings.callerAddress));
    this.peerServer = await PeerServer.listen(
      listenAddress(settings.peerAddress),
      {
        loans: this.budgets.lender,
        suspects: this.suspects,
        origins: this.origins,
        copies: new TopicCopies([this.configurationFollower]),
        places: this.places,
        tunnels: this.tunnels,
      },
    );
    void this.suspects.learn();
    void this.suspects.recall().then(() => {
      this.gate.requirementMet(StartRequirement.Suspects);
    });
    void this.configurationFollower.run();
    void this.endpointFollower.run();
    void this.budgets.run();
    void this.bills.run();
    await this.status.listen(
      listenAddress(settings.readyAddress),
      listenAddress(settings.statusAddress),
    );
    events.info('started', {dataCenter: settings.dataCenter});
  }

  /**
   * Reports not ready, finishes its work and shuts down.
   *
   * @param stopRequestedMillisecondsAgo How long ago the process was asked to
   *     stop, milliseconds.
   */
  async close(stopRequestedMillisecondsAgo = 0): Promise<void> {
    const {settings, clock, events} = this.parts;
    const {stopGraceMilliseconds} = gatewayLimits(settings);
    const {callers, handler, budgets, bills, tunnels} = this;
    const stop = new GracefulStop(
      {callers, handler, budgets, bills, tunnels, clock, events},
      stopGraceMilliseconds,
      stopRequestedMillisecondsAgo,
    );
    this.state.beginStop();
    await stop.run();
    await this.abort();
  }

  /**
   * Shuts down immediately: open requests are cut and grants are not returned.
   */
  async abort(): Promise<void> {
    this.gate.close();
    this.callers.close();
    this.status.close();
    this.link.close();
    this.configurationFollower.close();
    this.endpointFollower.close();
    this.copyPeers.close();
    this.budgets.abort();
    this.bills.abort();
    this.tunnels.close();
    this.crashes.close();
    this.suspects.close();
    this.places.close();
    this.pastOrigins.close();
    this.origins.close();
    await this.peerServer?.close();
    this.paths.close();
    this.connections.destroy();
    this.parts.log.close();
  }

  /** Whether the gateway serves callers. */
  isReady(): boolean {
    return this.state.isReady();
  }

  /** The gateway's state, for operators. */
  dump(): JsonValue {
    return this.state.dump();
  }

  /** Port for callers; the settings may leave the choice to the system. */
  get callerPort(): number {
    return this.callers.port;
  }

  /**
   * Port of the readiness address; the settings may leave the choice to the
   * system.
   */
  get readyPort(): number {
    return this.status.readyPort;
  }

  /** Port of the status address. */
  get statusPort(): number {
    return this.status.statusPort;
  }

  /**
   * Applies the settings that may change at run time. Addresses stay, because
   * open connections depend on them; changing them takes a restart.
   */
  reload(settings: GatewaySettings): void {
    this.handler.setResendLimits(gatewayLimits(settings).resends);
    this.handler.setUndeliveredCharge(undeliveredCharge(settings));
    this.parts.events.info('settings reloaded', {host: settings.host});
  }

  private logMissingConfiguration(): void {
    if (this.configuration.current === undefined) {
      this.parts.events.warn('no configuration after the start', {
        waitedMilliseconds: START_GATE_TIMEOUT_MILLISECONDS,
        isStoreUnavailable: this.health.configuration.isUnavailable,
      });
    }
  }

  private observeLoad(): void {
    const now = this.parts.clock.monotonicMilliseconds();
    this.loopSaturation.observe(now, {
      idleMilliseconds: performance.nodeTiming.idleTime,
      turnMilliseconds: this.callers.loopTurnMilliseconds,
    });
    this.hostConnections.observe(now);
    this.rotation.observe({
      isLinkOverloaded: this.link.isOverloaded,
      isLoopSaturated: this.loopSaturation.isSaturated,
      connections: this.callers.acceptedConnections,
    });
    this.budgets.setLeaving(this.rotation.closesConnections);
    this.paths.observe();
    this.configuration.observeTrust();
  }

  private createBudgets(): BudgetHolder {
    const {settings, log, clock, random, events} = this.parts;
    const replica = new BudgetReplica(
      log,
      clock,
      gatewayLimits(settings).storeRetentionMilliseconds /
        CHECKPOINTS_PER_RETENTION,
      events,
    );
    const identity = {
      host: hostName(settings),
      peerAddress: settings.peerAddress,
      dataCenter: settings.dataCenter,
      region: settings.region,
      newIncarnation: () => random.identifier(),
    };
    return new BudgetHolder(
      new BudgetJournal(identity, replica, log, events),
      replica,
      new ConnectLoanPeers(this.link),
      this.health.budgets,
      clock,
      events,
      new DemandSizing({
        pooledPart: settings.budgetPooledPart,
        seconds: settings.budgetReserveSeconds,
      }),
      settings.budgetPooledPart,
      this.metrics,
    );
  }

  private createDirectory(): EndpointDirectory {
    const {settings, dialect, clock, events} = this.parts;
    return new EndpointDirectory(
      dialect,
      this.health.endpoints,
      clock,
      events,
      {
        drainMilliseconds: gatewayLimits(settings).endpointDrainMilliseconds,
        isLinkCongested: () => this.link.isCongested,
      },
      {
        isEvacuated: dataCenter => this.evacuations.isEvacuated(dataCenter),
        coldStartMilliseconds: service =>
          this.configuration.current?.services.get(service)
            ?.coldStartMilliseconds ?? 0,
        onFieldsIgnored: () => {
          this.metrics.endpointFieldsIgnored();
        },
      },
    );
  }

  private createPlacementRules(): PlacementRules {
    const {settings, clock, random} = this.parts;
    const {dataCenter, region, dataCenterRegions} = settings;
    const popularities = new Map<string, PartPopularity>();
    const speeds = new ServiceSpeeds();
    return {
      speedOf: service => speeds.of(service),
      hostCount: () => this.budgets.holderCount,
      popularityOf: service => {
        const popularity = popularities.get(service) ?? new PartPopularity();
        popularities.set(service, popularity);
        return popularity;
      },
      dataCenter,
      region,
      cold: new ColdTurns(hostName(settings), () => this.budgets.holderCount),
      stated: new StatedAdmission({
        limits: new LimitTurns(),
        places: this.places,
        place: () => this.place(),
        clock,
      }),
      regionOf: other =>
        other === dataCenter ? region : dataCenterRegions[other],
      fraction: () => random.fraction(),
    };
  }

  private createPlaces(): EndpointPlaces {
    const {settings, clock, events} = this.parts;
    return new EndpointPlaces({
      host: hostName(settings),
      peers: new ConnectPlacePeers(this.link),
      clock,
      events,
      endpointsOf: service => this.paths.availableEndpoints(service),
      memoryTokensOf: service =>
        this.configuration.current?.services.get(service)?.engine?.memoryTokens,
      place: () => this.place(),
      otherHosts: () => this.budgets.otherHolders,
    });
  }

  /** This host among those that send requests to the same endpoints. */
  private place(): HostPlace {
    return hostPlace(hostName(this.parts.settings), this.budgets.hosts);
  }

  private createHealth(): TopicHealth {
    const {clock, events} = this.parts;
    const now = () => clock.monotonicMilliseconds();
    const {link} = this;
    const linkDelays = {link};
    const budgetDelays = {lag: new LoopLag(now), link};
    return {
      budgets: new StoreHealth('budgets', events, budgetDelays),
      endpoints: new StoreHealth('endpoints', events, linkDelays),
      configuration: new StoreHealth('configuration', events, linkDelays),
    };
  }

  private createLink(): LinkMonitor {
    const {settings, clock, events, traffic} = this.parts;
    return new LinkMonitor(
      gatewayLimits(settings).linkBytesPerSecond,
      traffic ?? new ProcessTraffic(),
      events,
      () => clock.monotonicMilliseconds(),
    );
  }

  private createRotation(): HostRotation {
    const {settings, clock, random, events} = this.parts;
    const withdrawal = new LoopWithdrawal({
      host: hostName(settings),
      listedHosts: () => this.budgets.hostsIn(settings.dataCenter),
      store: this.health.budgets,
      clock,
    });
    return new HostRotation({
      policy: new WithdrawWhileOverloaded(),
      events,
      now: () => clock.monotonicMilliseconds(),
      fraction: () => random.fraction(),
      loopAllowance: () => withdrawal.allowance(),
      onChange: state => {
        this.metrics.rotationChanged(state);
      },
    });
  }

  private createPaths(): ServicePaths {
    const {settings, clock, random} = this.parts;
    return new ServicePaths({
      directory: this.directory,
      reach: this.reach,
      connections: this.connections,
      link: this.link,
      clock,
      dataCenter: settings.dataCenter,
      stopGraceMilliseconds: gatewayLimits(settings).stopGraceMilliseconds,
      peers: () => this.peersInRegion(),
      fraction: () => random.fraction(),
    });
  }

  private createSuspects(): SuspectRegistry {
    const {settings, log, clock, events} = this.parts;
    return new SuspectRegistry({
      peers: new ConnectSuspectPeers(this.link),
      archive: new SuspectArchive(log, clock, events),
      clock,
      events,
      metrics: this.metrics,
      ownAddress: settings.peerAddress,
      otherAddresses: () =>
        this.budgets.otherHolders.map(({address}) => address),
    });
  }

  private createOrigins(): StreamOriginRegistry {
    const {settings, clock, events} = this.parts;
    return new StreamOriginRegistry({
      peers: this.originPeers,
      watch: this.originWatch,
      directory: this.directory,
      clock,
      events,
      dataCenter: settings.dataCenter,
      ownAddress: settings.peerAddress,
      otherHosts: () => this.peersInRegion(),
      listPosition: () => this.endpointFollower.deliveredUntil,
      isConfigurationReadable: () => !this.health.configuration.isUnavailable,
      readChanges: () => this.readChanges(),
    });
  }

  private get sharedReadMilliseconds(): number {
    return sharedReadInterval(this.budgets.holderCount);
  }

  private get changesReadLimit(): number {
    return CHANGES_READ_MILLISECONDS + this.link.delayMilliseconds;
  }

  private async readChanges(): Promise<boolean> {
    const limit = this.changesReadLimit;
    const areRead = await Promise.all([
      this.endpointFollower.readNow(limit),
      this.configurationFollower.readNow(limit),
    ]);
    return areRead.every(isRead => isRead);
  }

  private createPastOrigins(): PastOriginsSource {
    const {names, dialect, log, clock, random, events} = this.parts;
    return new PastOriginsSource({
      watch: this.originWatch,
      directory: this.directory,
      peers: this.originPeers,
      log,
      partition: names.endpointPartition,
      dialect,
      clock,
      events,
      otherHosts: () => this.peersInRegion(),
      fraction: () => random.fraction(),
    });
  }

  private peersInRegion(): readonly PeerHost[] {
    const {region} = this.parts.settings;
    return this.budgets.otherHolders.filter(holder => holder.region === region);
  }

  private createHandler(): RequestHandler {
    const {settings, dialect, clock, random, events} = this.parts;
    return new RequestHandler(
      this.configuration,
      this.budgets,
      this.health.budgets,
      this.bills,
      {
        dialect,
        clock,
        events,
        paths: this.paths,
        link: this.link,
        directory: this.directory,
        crashes: this.crashes,
        suspects: this.suspects,
        placement: this.createPlacementRules(),
        evacuations: this.evacuations,
        admissions: new EngineAdmissions({
          clock,
          metrics: this.metrics,
          configuration: () =>
            settings.engineAdmission ? this.configuration.current : undefined,
          fraction: () => random.fraction(),
        }),
        metrics: this.metrics,
        account: this.account,
        copies: new RunCopies(settings.streamCopies),
        leavings: new EndpointLeavings(
          this.directory,
          gatewayLimits(settings).endpointDrainMilliseconds,
        ),
        resendHosts: () => this.budgets.listedHolderCount,
        readList: () => this.endpointFollower.readNow(this.changesReadLimit),
      },
      this.requests,
      gatewayLimits(settings).resends,
      undeliveredCharge(settings),
      this.metrics,
      events,
      this.gate,
      new StreamStarts({
        registry: this.origins,
        watch: this.originWatch,
        directory: this.directory,
        metrics: this.metrics,
        clock,
        events,
      }),
      () => random.fraction(),
    );
  }

  private createConfigurationFollower(): KeyedTopicFollower {
    const {settings, names, log, clock, random, events} = this.parts;
    const limits = gatewayLimits(settings);
    const applyMilliseconds = Math.min(
      limits.configurationApplyMilliseconds,
      limits.evacuationMilliseconds,
    );
    const partition = names.configurationPartition;
    return new KeyedTopicFollower(
      log,
      new CombinedTopicReader([
        this.configuration,
        this.evacuations,
        new ConfigurationSequence({
          onWhole: () => {
            this.originWatch.sawAllConfigurations();
          },
          onMissed: (from, to) => {
            events.info('configurations may be missing', {from, to});
            this.originWatch.missedConfigurations();
            void this.pastOrigins.learnMissed();
          },
        }),
      ]),
      {
        partition,
        waitMilliseconds: Math.floor(configurationReadWait(applyMilliseconds)),
        pauseMilliseconds: 0,
        sharedReadMilliseconds: () => this.sharedReadMilliseconds,
        onPending: since => {
          this.configuration.setPendingSince(since);
        },
        catchUp: new TopicCatchUp({
          topic: partition.topic,
          applyMilliseconds,
          dataCenter: settings.dataCenter,
          peers: this.copyPeers,
          clock,
          events,
          otherHosts: () => this.budgets.otherHolders,
          fraction: () => random.fraction(),
        }),
      },
      this.health.configuration,
      clock,
      events,
    );
  }

  private createEndpointFollower(): KeyedTopicFollower {
    const {settings, names, log, clock, events} = this.parts;
    return new KeyedTopicFollower(
      log,
      this.directory,
      {
        partition: names.endpointPartition,
        waitMilliseconds: 0,
        pauseMilliseconds: endpointReadPause(
          gatewayLimits(settings).endpointDrainMilliseconds,
        ),
        sharedReadMilliseconds: () => this.sharedReadMilliseconds,
      },
      this.health.endpoints,
      clock,
      events,
    );
  }
}

/** Name of this process on the budget log. */
function hostName({host, callerAddress}: GatewaySettings): string {
  return `${host} ${callerAddress}`;
}

function undeliveredCharge(settings: GatewaySettings): UndeliveredCharge {
  return settings.chargeUndeliveredPrompts
    ? UndeliveredCharge.Prompt
    : UndeliveredCharge.Nothing;
}

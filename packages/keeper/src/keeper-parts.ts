import {GrantPolicy, WitnessBook} from '@wisteriadeal/ledger';
import {
  Clock,
  HostList,
  LogClient,
  ModelEngineFactory,
  RandomSource,
} from '@wisteriadeal/platform';
import type {EventLog, Metrics} from '@wisteriadeal/runtime';
import type {ProcessIdentity} from '@wisteriadeal/schema';

import {AbandonedBegins} from './abandoned-begins.js';
import {BillObserver} from './bill-observer.js';
import {BillSubmitter} from './bill-submitter.js';
import {BookReplicator} from './book-replicator.js';
import {CheckpointWriter} from './checkpoint-writer.js';
import {ClaimService} from './claim-service.js';
import {ConfigurationReplica} from './configuration-replica.js';
import {EntryCopies} from './entry-copies.js';
import {FoldListener} from './fold-listener.js';
import {GossipTask} from './gossip-task.js';
import {DEFAULT_BUDGET_PREFERENCE, GrantManager} from './grant-manager.js';
import type {GrantDependencies} from './grant-dependencies.js';
import {GrantMaintainer} from './grant-maintainer.js';
import {InheritedRequests} from './inherited-requests.js';
import {KeeperInspection} from './keeper-inspection.js';
import type {KeeperOptions} from './keeper-options.js';
import {KeptEntries} from './kept-entries.js';
import {LedgerAppender} from './ledger-appender.js';
import {LedgerReplicas} from './ledger-replicas.js';
import {MembershipTable} from './membership-table.js';
import {OrphanSettler} from './orphan-settler.js';
import {PeerClients} from './peer-clients.js';
import {PlatformHealth} from './platform-health.js';
import {Reclaimer} from './reclaimer.js';
import {RelayReader} from './relay-reader.js';
import {RelayServer} from './relay-server.js';
import {RequestRegistry} from './request-registry.js';
import {RequestService} from './request-service.js';
import {RouterSessions} from './router-sessions.js';
import {SettlementService} from './settlement-service.js';
import type {StreamReplica} from './stream-replica.js';
import {TransferService} from './transfer-service.js';
import {WitnessLinks} from './witness-links.js';
import {WitnessService} from './witness-service.js';

/** External dependencies of a keeper. */
export interface KeeperDependencies {
  readonly log: LogClient;
  readonly hostList: HostList;
  readonly engines: ModelEngineFactory;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly policy: GrantPolicy;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
}

/** Creates and connects the components of one keeper. */
export class KeeperParts {
  readonly peers = new PeerClients();
  readonly health = new PlatformHealth();
  readonly configuration = new ConfigurationReplica();
  readonly witnessBook = new WitnessBook();
  readonly replicas: LedgerReplicas;
  readonly membership: MembershipTable;
  readonly appender: LedgerAppender;
  readonly entryCopies: EntryCopies;
  readonly keptEntries: KeptEntries;
  readonly links: WitnessLinks;
  readonly grantManager: GrantManager;
  readonly grantMaintainer: GrantMaintainer;
  readonly registry: RequestRegistry;
  readonly inherited: InheritedRequests;
  readonly requests: RequestService;
  readonly sessions: RouterSessions;
  readonly transfers: TransferService;
  readonly orphans: OrphanSettler;
  readonly reclaimer: Reclaimer;
  readonly gossip: GossipTask;
  readonly checkpoints: CheckpointWriter;
  readonly relayReader: RelayReader;
  readonly relayServer: RelayServer;
  readonly witnessService: WitnessService;
  readonly inspection: KeeperInspection;

  constructor(
    self: ProcessIdentity,
    readonly options: KeeperOptions,
    readonly dependencies: KeeperDependencies,
  ) {
    const {clock, eventLog, log, random} = dependencies;
    const bills = new BillObserver(clock);
    this.replicas = new LedgerReplicas(options.ledgerStreams);
    this.replicas.addListener(bills);
    this.membership = new MembershipTable(
      self,
      options.heartbeatLimitMilliseconds,
      clock,
      options.heartbeatLimitMilliseconds + options.fenceDelayMilliseconds,
    );
    this.entryCopies = new EntryCopies(
      this.membership,
      this.peers,
      clock,
      eventLog,
    );
    this.appender = new LedgerAppender(
      self.incarnation,
      this.replicas,
      log,
      this.health,
      clock,
      options.billFlushMilliseconds,
      this.entryCopies,
      dependencies.metrics,
      eventLog,
    );
    this.keptEntries = new KeptEntries(
      this.replicas,
      log,
      this.health,
      clock,
      eventLog,
    );
    this.replicas.addListener(this.keptEntries);
    this.links = new WitnessLinks(
      this.membership,
      this.peers,
      options.heartbeatLimitMilliseconds,
      clock,
      eventLog,
    );
    const grantDependencies = this.grantDependencies(bills);
    this.grantManager = new GrantManager(grantDependencies);
    this.grantMaintainer = new GrantMaintainer(
      grantDependencies,
      this.grantManager,
      options.heartbeatLimitMilliseconds,
    );
    this.registry = new RequestRegistry(clock);
    this.replicas.addListener(
      new FoldListener(
        self.incarnation,
        this.grantManager,
        this.witnessBook,
        this.registry,
        eventLog,
      ),
    );
    const abandonedBegins = new AbandonedBegins();
    this.inherited = new InheritedRequests(
      this.membership,
      this.replicas,
      this.registry,
      abandonedBegins,
      this.appender,
      clock,
      options.heartbeatLimitMilliseconds + options.fenceDelayMilliseconds,
      eventLog,
    );
    this.replicas.addListener(this.inherited);
    const billSubmitter = new BillSubmitter(
      this.appender,
      this.replicas,
      grantDependencies.replicator,
      this.grantManager,
      eventLog,
    );
    const settlements = new SettlementService(
      billSubmitter,
      this.replicas,
      grantDependencies.replicator,
      this.grantManager,
      this.registry,
    );
    this.requests = new RequestService(
      this.membership,
      this.replicas,
      grantDependencies.replicator,
      this.grantManager,
      new ClaimService(
        this.appender,
        this.replicas,
        this.health,
        this.registry,
        clock,
      ),
      this.registry,
      this.witnessBook,
      abandonedBegins,
      this.inherited,
    );
    this.sessions = new RouterSessions(
      this.membership,
      this.configuration,
      this.requests,
      settlements,
      this.registry,
      eventLog,
    );
    this.transfers = new TransferService(
      this.membership,
      this.peers,
      this.replicas,
      this.grantManager,
      grantDependencies.replicator,
      this.appender,
      clock,
      random,
      eventLog,
    );
    this.orphans = new OrphanSettler(
      this.registry,
      settlements,
      this.membership,
      this.replicas,
      this.configuration,
      dependencies.engines,
      options.orphanWaitMilliseconds,
      clock,
      eventLog,
    );
    this.reclaimer = new Reclaimer(
      this.membership,
      this.replicas,
      this.witnessBook,
      this.appender,
      billSubmitter,
      options.heartbeatLimitMilliseconds + options.fenceDelayMilliseconds,
      () => clock.monotonicMilliseconds(),
      eventLog,
    );
    this.gossip = new GossipTask(
      this.membership,
      dependencies.hostList,
      this.peers,
      options.seedKeepers,
      options.heartbeatMilliseconds,
      clock,
      eventLog,
      () => this.gossipMessage(),
    );
    this.checkpoints = new CheckpointWriter(
      this.membership,
      this.streams,
      log,
      this.health,
      options.checkpointRecords,
      eventLog,
    );
    this.relayReader = new RelayReader(this.membership, this.peers, eventLog);
    this.relayServer = new RelayServer(self.incarnation, this.streams);
    this.witnessService = new WitnessService(self, this.witnessBook);
    this.inspection = new KeeperInspection(
      this.membership,
      this.configuration,
      this.replicas,
      this.health,
      this.appender,
      this.grantManager,
      this.witnessBook,
      this.registry,
      bills,
    );
  }

  /** Replicas of all streams that this keeper follows. */
  get streams(): readonly StreamReplica[] {
    return [this.configuration, ...this.replicas.all];
  }

  /** Creates the heartbeat message of this keeper. */
  gossipMessage() {
    const nextOffsets = Object.fromEntries(
      this.streams.map(replica => [replica.stream, replica.nextOffset]),
    );
    return this.membership.createGossip(
      this.configuration.version,
      nextOffsets,
    );
  }

  private grantDependencies(bills: BillObserver): GrantDependencies {
    const {clock, eventLog, random, policy} = this.dependencies;
    const preferenceOf = (organisation: string) =>
      this.configuration.configuration?.organisations.find(
        candidate => candidate.name === organisation,
      )?.budgetPreference ?? DEFAULT_BUDGET_PREFERENCE;
    return {
      membership: this.membership,
      replicas: this.replicas,
      appender: this.appender,
      replicator: new BookReplicator(
        this.links,
        this.appender,
        this.replicas,
        this.health,
        clock,
        preferenceOf,
      ),
      links: this.links,
      health: this.health,
      bills,
      policy,
      clock,
      random,
      eventLog,
      preferenceOf,
    };
  }
}

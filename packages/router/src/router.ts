import {create} from '@bufbuild/protobuf';
import {LoadCore} from '@wisteriadeal/decisions';
import type {
  Clock,
  ModelEngineFactory,
  PlainServiceFactory,
  RandomSource,
} from '@wisteriadeal/platform';
import {
  ControlServer,
  registerInspection,
  type EventLog,
  type Metrics,
  type RunningBinary,
} from '@wisteriadeal/runtime';
import {
  ProcessIdentitySchema,
  RouterService,
  type ProcessIdentity,
  type RouterSettings,
} from '@wisteriadeal/schema';

import {AnswerStore} from './answer-store.js';
import {attachService} from './attach-service.js';
import {CallerRoutes} from './caller-routes.js';
import {CallerServer} from './caller-server.js';
import {DispatchedCalls} from './dispatched-calls.js';
import {EndpointDirectory} from './endpoint-directory.js';
import {HolderClient} from './holder-client.js';
import {KeeperDirectory} from './keeper-directory.js';
import type {KeeperConnector} from './keeper-connector.js';
import {LoadDispatcher} from './load-dispatcher.js';
import {RequestLocator} from './request-locator.js';
import {RequestService} from './request-service.js';
import type {RouterConnector} from './router-connector.js';
import {keptAnswerMilliseconds, routerLimits} from './router-limits.js';
import {RouterState} from './router-state.js';
import type {RunDependencies} from './run-context.js';
import {SubmissionReader} from './submission-reader.js';

/** Dependencies of a router, supplied by the composition root. */
export interface RouterDependencies {
  readonly settings: RouterSettings;
  readonly keeperConnector: KeeperConnector;
  readonly routerConnector: RouterConnector;
  readonly engineFactory: ModelEngineFactory;
  readonly plainServiceFactory: PlainServiceFactory;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

const DRAIN_CHECK_INTERVAL_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1_000;

/** One router process. */
export class Router implements RunningBinary {
  private draining = false;
  private identity: ProcessIdentity;
  private readonly keepers: KeeperDirectory;
  private readonly holderClient: HolderClient;
  private readonly dispatcher: LoadDispatcher;
  private readonly endpoints: EndpointDirectory;
  private readonly store: AnswerStore;
  private readonly requests: RequestService;
  private controlServer: ControlServer | undefined;
  private callerServer: CallerServer | undefined;

  private constructor(private readonly dependencies: RouterDependencies) {
    const {settings, clock, random, log} = dependencies;
    const host = settings.process?.host ?? '';
    const dataCenter = settings.process?.dataCenter ?? '';
    const limits = routerLimits(settings);
    const incarnationSuffix = random.identifier().slice(0, INCARNATION_DIGITS);
    this.identity = create(ProcessIdentitySchema, {
      incarnation: `${host}/router/${incarnationSuffix}`,
      host,
      dataCenter,
    });
    this.keepers = new KeeperDirectory(
      {
        identity: () => this.identity,
        dataCenter,
        localKeeper: settings.keeperAddress,
        connector: dependencies.keeperConnector,
        clock,
        log,
      },
      {
        configurationChanged: inForce => {
          log.info('configuration-in-force', {version: inForce.version});
          if (inForce.configuration !== undefined) {
            this.endpoints.configure(inForce.configuration);
          }
        },
        membershipChanged: () => {
          this.endpoints.refresh();
        },
        settlementAcknowledged: requestId => {
          this.holderClient.settlementAcknowledged(requestId);
        },
      },
    );
    this.holderClient = new HolderClient(this.keepers, clock, log);
    this.dispatcher = new LoadDispatcher(
      new LoadCore({
        dataCenter,
        maximumQueuedRequests: limits.maximumQueuedRequests,
        fraction: () => random.fraction(),
      }),
      clock,
    );
    this.endpoints = new EndpointDirectory({
      engineFactory: dependencies.engineFactory,
      plainServiceFactory: dependencies.plainServiceFactory,
      dispatcher: this.dispatcher,
      leavingEndpoints: () => this.keepers.leavingEndpoints(),
      clock,
      log,
    });
    this.store = new AnswerStore(clock, limits.keptAnswerBytes, () =>
      keptAnswerMilliseconds(this.keepers.configuration),
    );
    this.requests = new RequestService(
      this.createRunDependencies(),
      this.store,
    );
  }

  /**
   * Starts a router: listens, opens its keeper sessions, and becomes ready once
   * it has received a configuration.
   *
   * @example
   * ```ts
   * const router = await Router.start(dependencies);
   * await router.close();
   * ```
   */
  static async start(dependencies: RouterDependencies): Promise<Router> {
    const router = new Router(dependencies);
    await router.listen();
    return router;
  }

  /** `IP:port` of the callers' interface. */
  get callerAddress(): string {
    return this.callerServer?.address ?? '';
  }

  /** `IP:port` of the control services, for the system's other processes. */
  get controlAddress(): string {
    return this.controlServer?.address ?? '';
  }

  /**
   * Shuts down gracefully: reports not ready, refuses new requests as not run,
   * waits until running requests have finished and are settled, then closes the
   * caller port and says goodbye to the keepers. The port stays open during the
   * drain: with a closed port the last callers would see broken connections
   * instead of refusals and could not tell whether their requests ran.
   */
  async close(): Promise<void> {
    this.draining = true;
    this.dependencies.log.info('draining', {open: this.store.running});
    await this.waitUntilDrained();
    await this.callerServer?.close();
    await this.keepers.close();
    this.dispatcher.close();
    await this.endpoints.close();
    await this.controlServer?.close();
    await this.dependencies.metrics.close();
    this.dependencies.log.info('left');
  }

  private async listen(): Promise<void> {
    const {settings, log} = this.dependencies;
    const address = settings.process?.address ?? '127.0.0.1';
    this.controlServer = await ControlServer.listen(
      address,
      settings.process?.controlPort ?? 0,
      router => {
        registerInspection(router, this.createState());
        router.service(RouterService, attachService(this.requests));
      },
    );
    this.callerServer = await CallerServer.listen(
      address,
      settings.callerPort,
      this.createRoutes().routes(),
    );
    this.identity = create(ProcessIdentitySchema, {
      ...this.identity,
      controlAddress: this.controlServer.address,
      callerAddress: this.callerServer.address,
    });
    this.keepers.start();
    log.info('listening', {
      process: 'router',
      host: this.identity.host,
      controlAddress: this.controlServer.address,
      callerAddress: this.callerServer.address,
    });
  }

  /** Readers count too: an answer ends here before its last reader has it. */
  private get isBusy(): boolean {
    return (
      this.store.running > 0 ||
      this.store.readers > 0 ||
      this.holderClient.openSettlements > 0 ||
      this.holderClient.openAbandons > 0
    );
  }

  private async waitUntilDrained(): Promise<void> {
    const {clock, settings, log} = this.dependencies;
    const {drainLimitMilliseconds} = routerLimits(settings);
    const deadline = clock.monotonicMilliseconds() + drainLimitMilliseconds;
    while (this.isBusy) {
      if (clock.monotonicMilliseconds() >= deadline) {
        log.warn('drain-limit-reached', {
          open: this.store.running,
          unsettled: this.holderClient.openSettlements,
        });
        this.callerServer?.destroy();
        return;
      }
      await clock.sleep(DRAIN_CHECK_INTERVAL_MILLISECONDS);
    }
  }

  private createRunDependencies(): RunDependencies {
    const {clock, random, log, metrics, routerConnector} = this.dependencies;
    return {
      holderClient: this.holderClient,
      dispatcher: this.dispatcher,
      routerConnector,
      clock,
      random,
      log,
      metrics,
      dispatchedCalls: new DispatchedCalls(),
      incarnation: () => this.identity.incarnation,
      draining: () => this.draining,
      peers: () => this.peers(),
    };
  }

  private createRoutes(): CallerRoutes {
    const {clock, random, routerConnector} = this.dependencies;
    return new CallerRoutes({
      requests: this.requests,
      locator: new RequestLocator({
        requests: this.requests,
        routerConnector,
        peers: () => this.peers(),
        nowSeconds: () =>
          Math.floor(clock.wallMilliseconds() / MILLISECONDS_PER_SECOND),
      }),
      reader: new SubmissionReader({
        endpoints: this.endpoints,
        clock,
        random,
        incarnation: () => this.identity.incarnation,
      }),
      clock,
      random,
      configuration: () => this.keepers.configuration?.configuration,
      identity: () => this.identity,
      ready: () => !this.draining && this.keepers.configuration !== undefined,
    });
  }

  private peers(): readonly ProcessIdentity[] {
    const members = this.keepers.membership?.routers ?? [];
    return members.flatMap(({identity}) =>
      identity === undefined ||
      identity.incarnation === this.identity.incarnation
        ? []
        : [identity],
    );
  }

  private createState(): RouterState {
    return new RouterState({
      identity: () => this.identity,
      draining: () => this.draining,
      keepers: this.keepers,
      holderClient: this.holderClient,
      dispatcher: this.dispatcher,
      endpoints: this.endpoints,
      store: this.store,
    });
  }
}

const INCARNATION_DIGITS = 12;

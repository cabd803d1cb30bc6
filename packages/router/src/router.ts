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
import type {KeeperConnector} from './keeper-link.js';
import {LoadDispatcher} from './load-dispatcher.js';
import {RequestLocator} from './request-locator.js';
import {RequestService} from './request-service.js';
import type {RouterConnector} from './router-attacher.js';
import {keptAnswerMilliseconds, routerLimits} from './router-limits.js';
import {RouterState} from './router-state.js';
import type {RunParts} from './run-context.js';
import {SubmissionReader} from './submission-reader.js';

/** What a router is made of; the composition root hands it in. */
export interface RouterParts {
  readonly settings: RouterSettings;
  readonly keepers: KeeperConnector;
  readonly routers: RouterConnector;
  readonly engines: ModelEngineFactory;
  readonly plainServices: PlainServiceFactory;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

const DRAIN_CHECK_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1_000;

/** One router process. */
export class Router implements RunningBinary {
  private draining = false;
  private identity: ProcessIdentity;
  private readonly keepers: KeeperDirectory;
  private readonly holder: HolderClient;
  private readonly dispatcher: LoadDispatcher;
  private readonly endpoints: EndpointDirectory;
  private readonly store: AnswerStore;
  private readonly requests: RequestService;
  private control: ControlServer | undefined;
  private callers: CallerServer | undefined;

  private constructor(private readonly parts: RouterParts) {
    const {settings, clock, random, log} = parts;
    const host = settings.process?.host ?? '';
    const dataCenter = settings.process?.dataCenter ?? '';
    const limits = routerLimits(settings);
    const own = random.identifier().slice(0, INCARNATION_DIGITS);
    this.identity = create(ProcessIdentitySchema, {
      incarnation: `${host}/router/${own}`,
      host,
      dataCenter,
    });
    this.keepers = new KeeperDirectory(
      {
        self: () => this.identity,
        dataCenter,
        localKeeper: settings.keeperAddress,
        connector: parts.keepers,
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
        settled: requestId => {
          this.holder.settled(requestId);
        },
      },
    );
    this.holder = new HolderClient(this.keepers, clock, log);
    this.dispatcher = new LoadDispatcher(
      new LoadCore({
        dataCenter,
        maximumQueuedRequests: limits.maximumQueuedRequests,
        fraction: () => random.fraction(),
      }),
      clock,
    );
    this.endpoints = new EndpointDirectory({
      engines: parts.engines,
      plainServices: parts.plainServices,
      dispatcher: this.dispatcher,
      leavingEndpoints: () => this.keepers.leavingEndpoints(),
      clock,
      log,
    });
    this.store = new AnswerStore(clock, limits.keptAnswerBytes, () =>
      keptAnswerMilliseconds(this.keepers.configuration),
    );
    this.requests = new RequestService(this.runParts(), this.store);
  }

  /**
   * Starts a router: it listens, opens its sessions, and is ready once it knows
   * a configuration.
   *
   * @example
   * ```ts
   * const router = await Router.start(parts);
   * await router.close();
   * ```
   */
  static async start(parts: RouterParts): Promise<Router> {
    const router = new Router(parts);
    await router.listen();
    return router;
  }

  /** `IP:port` for callers. */
  get callerAddress(): string {
    return this.callers?.address ?? '';
  }

  /** `IP:port` for the system's other processes. */
  get controlAddress(): string {
    return this.control?.address ?? '';
  }

  /**
   * Leaves in good order: not ready, new work refused as not run, what runs ends
   * whole and is settled, the keepers are told, and then the doors close. Closing
   * the doors first would turn the last callers' refusals into broken
   * connections, of which nobody can say whether they ran.
   */
  async close(): Promise<void> {
    this.draining = true;
    this.parts.log.info('draining', {open: this.store.running});
    await this.drained();
    await this.callers?.close();
    await this.keepers.close();
    this.dispatcher.close();
    await this.endpoints.close();
    await this.control?.close();
    await this.parts.metrics.close();
    this.parts.log.info('left');
  }

  private async listen(): Promise<void> {
    const {settings, log} = this.parts;
    const address = settings.process?.address ?? '127.0.0.1';
    this.control = await ControlServer.listen(
      address,
      settings.process?.controlPort ?? 0,
      router => {
        registerInspection(router, this.state());
        router.service(RouterService, attachService(this.requests));
      },
    );
    this.callers = await CallerServer.listen(
      address,
      settings.callerPort,
      this.routes().routes(),
    );
    this.identity = create(ProcessIdentitySchema, {
      ...this.identity,
      controlAddress: this.control.address,
      callerAddress: this.callers.address,
    });
    this.keepers.start();
    log.info('listening', {
      process: 'router',
      host: this.identity.host,
      controlAddress: this.control.address,
      callerAddress: this.callers.address,
    });
  }

  private async drained(): Promise<void> {
    const {clock, settings, log} = this.parts;
    const {drainLimitMilliseconds} = routerLimits(settings);
    const until = clock.monotonicMilliseconds() + drainLimitMilliseconds;
    while (this.store.running > 0 || this.holder.openSettlements > 0) {
      if (clock.monotonicMilliseconds() >= until) {
        log.warn('drain-limit-reached', {
          open: this.store.running,
          unsettled: this.holder.openSettlements,
        });
        this.callers?.destroy();
        return;
      }
      await clock.sleep(DRAIN_CHECK_MILLISECONDS);
    }
  }

  private runParts(): RunParts {
    const {clock, random, log, metrics, routers} = this.parts;
    return {
      holder: this.holder,
      dispatcher: this.dispatcher,
      routers,
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

  private routes(): CallerRoutes {
    const {clock, random, routers} = this.parts;
    return new CallerRoutes({
      requests: this.requests,
      locator: new RequestLocator({
        requests: this.requests,
        routers,
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

  private state(): RouterState {
    return new RouterState({
      identity: () => this.identity,
      draining: () => this.draining,
      keepers: this.keepers,
      holder: this.holder,
      dispatcher: this.dispatcher,
      endpoints: this.endpoints,
      store: this.store,
    });
  }
}

const INCARNATION_DIGITS = 12;

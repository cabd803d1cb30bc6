import {create} from '@bufbuild/protobuf';
import {
  AbandonRequestSchema,
  BeginVerdict,
  ConfigurationInForceSchema,
  KeeperMessageSchema,
  type AbandonRequest,
  type BeginRequest,
  type KeeperMessage,
  type ProcessIdentity,
  type RouterMessage,
  type SettleRequest,
} from '@wisteriadeal/schema';
import {MessageQueue, type EventLog} from '@wisteriadeal/runtime';

import type {ConfigurationReplica} from './configuration-replica.js';
import type {MembershipTable} from './membership-table.js';
import {RequestPhase, type RequestRegistry} from './request-registry.js';
import type {RequestService} from './request-service.js';
import type {SettlementService} from './settlement-service.js';

interface RouterSession {
  readonly queue: MessageQueue<KeeperMessage>;
  router: ProcessIdentity | undefined;
  open: boolean;
}

/**
 * The bidirectional streams of routers: receives their messages, and sends
 * verdicts and changes of the configuration and the membership.
 */
export class RouterSessions {
  private readonly sessions = new Set<RouterSession>();

  constructor(
    private readonly membership: MembershipTable,
    private readonly configuration: ConfigurationReplica,
    private readonly requests: RequestService,
    private readonly settlements: SettlementService,
    private readonly registry: RequestRegistry,
    private readonly eventLog: EventLog,
  ) {
    configuration.addListener(() => {
      this.broadcast(this.configurationMessage());
    });
    membership.addListener(() => {
      this.broadcast(this.membershipMessage());
    });
  }

  /** Whether a router has a session with this keeper. */
  hasSession(router: string): boolean {
    return [...this.sessions].some(
      session => session.router?.incarnation === router,
    );
  }

  /** Serves the stream of one router until it ends. */
  async *serve(
    messages: AsyncIterable<RouterMessage>,
  ): AsyncGenerator<KeeperMessage> {
    const session: RouterSession = {
      queue: new MessageQueue(),
      router: undefined,
      open: true,
    };
    this.sessions.add(session);
    const reading = this.readMessages(session, messages);
    try {
      yield* session.queue;
    } finally {
      this.endSession(session);
      await reading;
    }
  }

  private async readMessages(
    session: RouterSession,
    messages: AsyncIterable<RouterMessage>,
  ): Promise<void> {
    try {
      for await (const message of messages) {
        this.handleMessage(session, message);
      }
    } catch (error) {
      this.eventLog.info('router session lost', {
        peer: session.router?.incarnation,
        reason: String(error),
      });
    } finally {
      this.endSession(session);
    }
  }

  private handleMessage(session: RouterSession, {kind}: RouterMessage): void {
    switch (kind.case) {
      case 'hello':
        this.handleHello(session, kind.value);
        return;
      case 'begin':
        void this.begin(session, kind.value);
        return;
      case 'dispatching':
        this.requests.dispatching(kind.value);
        return;
      case 'settle':
        void this.settle(session, kind.value);
        return;
      case 'abandon':
        this.abandon(session, kind.value);
        return;
      default:
        return;
    }
  }

  private abandon(session: RouterSession, message: AbandonRequest): void {
    const router = session.router?.incarnation;
    if (router !== undefined) {
      void this.requests.abandon(message, router);
    }
  }

  private handleHello(session: RouterSession, router: ProcessIdentity): void {
    session.router = router;
    session.queue.push(
      create(KeeperMessageSchema, {
        kind: {case: 'welcome', value: this.membership.self},
      }),
    );
    for (const request of this.registry.unsettledOfRouter(router.incarnation)) {
      if (request.phase === RequestPhase.Orphaned) {
        this.registry.enterPhase(request, RequestPhase.Running);
      }
    }
    this.membership.setOwnRouters(this.routers);
    session.queue.push(this.membershipMessage());
    const configuration = this.configurationMessage();
    if (configuration !== undefined) {
      session.queue.push(configuration);
    }
  }

  private async begin(
    session: RouterSession,
    begin: BeginRequest,
  ): Promise<void> {
    const router = session.router?.incarnation;
    if (router === undefined) {
      return;
    }
    const value = await this.requests.begin(begin, router);
    const hasReservation =
      value.verdict === BeginVerdict.RESERVED ||
      value.verdict === BeginVerdict.RESUME;
    if (!session.open && hasReservation) {
      // The router did not get the answer, so it can't have dispatched the
      // request.
      await this.requests.abandon(
        create(AbandonRequestSchema, {
          requestId: begin.requestId,
          organisation: begin.organisation,
          grantId: value.grantId,
          lostBegins: begin.beginNumber > 0 ? [begin.beginNumber] : [],
        }),
        router,
      );
      return;
    }
    session.queue.push(
      create(KeeperMessageSchema, {kind: {case: 'beginAnswer', value}}),
    );
  }

  private async settle(
    session: RouterSession,
    settle: SettleRequest,
  ): Promise<void> {
    if (await this.settlements.settle(settle)) {
      session.queue.push(
        create(KeeperMessageSchema, {
          kind: {case: 'settleAnswer', value: {requestId: settle.requestId}},
        }),
      );
    }
  }

  private endSession(session: RouterSession): void {
    if (!session.open) {
      return;
    }
    session.open = false;
    session.queue.close();
    this.sessions.delete(session);
    this.membership.setOwnRouters(this.routers);
    const router = session.router?.incarnation;
    if (router !== undefined && !this.hasSession(router)) {
      this.orphanRequests(router);
    }
  }

  /**
   * Marks the running requests of a lost router as orphaned, to wait for a
   * retry of the caller.
   */
  private orphanRequests(router: string): void {
    for (const request of this.registry.unsettledOfRouter(router)) {
      if (request.phase === RequestPhase.Running) {
        this.registry.enterPhase(request, RequestPhase.Orphaned);
      }
    }
  }

  private get routers(): readonly ProcessIdentity[] {
    return [...this.sessions].flatMap(session => session.router ?? []);
  }

  private configurationMessage(): KeeperMessage | undefined {
    const {version, configuration} = this.configuration;
    return configuration === undefined
      ? undefined
      : create(KeeperMessageSchema, {
          kind: {
            case: 'configuration',
            value: create(ConfigurationInForceSchema, {version, configuration}),
          },
        });
  }

  private membershipMessage(): KeeperMessage {
    return create(KeeperMessageSchema, {
      kind: {case: 'membership', value: this.membership.membership},
    });
  }

  private broadcast(message: KeeperMessage | undefined): void {
    if (message === undefined) {
      return;
    }
    for (const session of this.sessions) {
      if (session.router !== undefined) {
        session.queue.push(message);
      }
    }
  }
}

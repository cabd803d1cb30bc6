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

/** The streams of routers: their requests in, verdicts and news out. */
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
    configuration.listen(() => {
      this.broadcast(this.configurationMessage());
    });
    membership.listen(() => {
      this.broadcast(this.membershipMessage());
    });
  }

  /** Whether a router has a session here. */
  has(router: string): boolean {
    return [...this.sessions].some(
      session => session.router?.incarnation === router,
    );
  }

  /** Serves one router until its stream ends. */
  async *serve(
    messages: AsyncIterable<RouterMessage>,
  ): AsyncGenerator<KeeperMessage> {
    const session: RouterSession = {
      queue: new MessageQueue(),
      router: undefined,
      open: true,
    };
    this.sessions.add(session);
    const reading = this.read(session, messages);
    try {
      yield* session.queue;
    } finally {
      this.end(session);
      await reading;
    }
  }

  private async read(
    session: RouterSession,
    messages: AsyncIterable<RouterMessage>,
  ): Promise<void> {
    try {
      for await (const message of messages) {
        this.take(session, message);
      }
    } catch (error) {
      this.eventLog.info('router session lost', {
        peer: session.router?.incarnation,
        reason: String(error),
      });
    } finally {
      this.end(session);
    }
  }

  private take(session: RouterSession, {kind}: RouterMessage): void {
    switch (kind.case) {
      case 'hello':
        this.welcome(session, kind.value);
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
      this.requests.forgetLostBegins(message, router);
      void this.requests.abandon(message, router);
    }
  }

  private welcome(session: RouterSession, router: ProcessIdentity): void {
    session.router = router;
    session.queue.push(
      create(KeeperMessageSchema, {
        kind: {case: 'welcome', value: this.membership.self},
      }),
    );
    for (const request of this.registry.ofRouter(router.incarnation)) {
      if (request.phase === RequestPhase.Orphaned) {
        this.registry.enter(request, RequestPhase.Running);
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
    if (!session.open && value.verdict === BeginVerdict.RESERVED) {
      // The router never learns of it, so it can't have dispatched.
      await this.requests.abandon(
        create(AbandonRequestSchema, {
          requestId: begin.requestId,
          organisation: begin.organisation,
          grantId: value.grantId,
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
    await this.settlements.settle(settle);
    session.queue.push(
      create(KeeperMessageSchema, {
        kind: {case: 'settleAnswer', value: {requestId: settle.requestId}},
      }),
    );
  }

  private end(session: RouterSession): void {
    if (!session.open) {
      return;
    }
    session.open = false;
    session.queue.close();
    this.sessions.delete(session);
    this.membership.setOwnRouters(this.routers);
    const router = session.router?.incarnation;
    if (router !== undefined && !this.has(router)) {
      this.orphan(router);
    }
  }

  /** What a lost router ran waits for its caller's retry. */
  private orphan(router: string): void {
    for (const request of this.registry.ofRouter(router)) {
      if (request.phase === RequestPhase.Running) {
        this.registry.enter(request, RequestPhase.Orphaned);
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

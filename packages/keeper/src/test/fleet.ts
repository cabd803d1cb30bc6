import {create, toBinary} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {DemandGrantPolicy, LedgerFold} from '@wisteriadeal/ledger';
import {ListedState, ModelEngineFactory} from '@wisteriadeal/platform';
import {
  EventLog,
  NoMetrics,
  SystemClock,
  SystemRandomSource,
  MessageQueue,
} from '@wisteriadeal/runtime';
import {
  BeginRequestSchema,
  BudgetPreference,
  ConfigurationRecordSchema,
  ConfigurationSchema,
  KeeperService,
  KeeperSettingsSchema,
  LogLevel,
  Outcome,
  ProcessIdentitySchema,
  RouterMessageSchema,
  type BeginAnswer,
  type KeeperMessage,
  type RouterMessage,
} from '@wisteriadeal/schema';
import {
  MemoryHostList,
  MemoryLog,
  MemoryLogStore,
} from '@wisteriadeal/stand-ins';

import {Keeper} from '../keeper.js';

/** A factory without reachable engines. */
class NoEngines extends ModelEngineFactory {
  override connect(): never {
    throw new Error('engine is unreachable');
  }
}

/** A test router with a session with one keeper. */
export class FakeRouter {
  readonly received: KeeperMessage[] = [];
  private readonly queue = new MessageQueue<RouterMessage>();
  private readonly ended = new AbortController();
  private sequence = 0;

  constructor(
    readonly incarnation: string,
    address: string,
  ) {
    const transport = createConnectTransport({
      httpVersion: '2',
      baseUrl: `http://${address}`,
    });
    const client = createClient(KeeperService, transport);
    const messages = client.routerSession(this.queue, {
      signal: this.ended.signal,
    });
    void this.read(messages);
    this.send({
      case: 'hello',
      value: create(ProcessIdentitySchema, {incarnation}),
    });
  }

  send(kind: NonNullable<RouterMessage['kind']>): void {
    this.queue.push(create(RouterMessageSchema, {kind}));
  }

  /** Begins a request and waits for the verdict. */
  async begin(
    requestId: string,
    boundTokens: number,
    fields: Partial<{
      idempotent: boolean;
      fingerprint: string;
      beginNumber: number;
    }> = {},
  ): Promise<BeginAnswer> {
    this.sequence += 1;
    const {sequence} = this;
    const value = create(BeginRequestSchema, {
      sequence,
      requestId,
      organisation: 'org',
      caller: 'caller',
      fingerprint: 'f',
      boundTokens,
      attemptId: `${requestId}.${sequence}`,
      idempotent: true,
      ...fields,
    });
    this.send({case: 'begin', value});
    for (;;) {
      for (const {kind} of this.received) {
        if (kind.case === 'beginAnswer' && kind.value.sequence === sequence) {
          return kind.value;
        }
      }
      await pause();
    }
  }

  /** Settles a request and waits for the acknowledgement. */
  async settle(answer: BeginAnswer, tokens: number): Promise<void> {
    const {requestId, grantId} = answer;
    this.send({
      case: 'settle',
      value: {
        $typeName: 'wisteriadeal.v1.SettleRequest',
        requestId,
        organisation: 'org',
        grantId,
        bill: {
          $typeName: 'wisteriadeal.v1.Bill',
          requestId,
          grantId,
          tokens,
          promptTokens: 0,
          completionTokens: tokens,
          confirmed: true,
          outcome: Outcome.ANSWERED,
          attemptId: '',
          endpoint: '',
          caller: '',
        },
      },
    });
    await waitUntil(() =>
      this.received.some(
        ({kind}) =>
          kind.case === 'settleAnswer' && kind.value.requestId === requestId,
      ),
    );
  }

  /** Ends the session at once, as a crash of the router would. */
  kill(): void {
    this.ended.abort();
  }

  private async read(messages: AsyncIterable<KeeperMessage>): Promise<void> {
    try {
      for await (const message of messages) {
        this.received.push(message);
      }
    } catch {
      // The session ended.
    }
  }
}

/** Waits 5 ms, so that other tasks can run. */
export function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 5));
}

/** Waits until a condition holds; if it never does, the test times out. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await pause();
  }
}

const PUBLICATION = create(ConfigurationRecordSchema, {
  kind: {
    case: 'publication',
    value: {
      publicationId: 'first',
      configuration: create(ConfigurationSchema, {
        organisations: [
          {
            name: 'org',
            weight: 1,
            openingBudgetTokens: 100_000,
            budgetPreference: BudgetPreference.AVOID_UNCLEAR_BILLS,
          },
        ],
        limits: {
          maximumBodyBytes: 1,
          requestReceiveTimeoutMilliseconds: 1,
          interactiveDeadlineMilliseconds: 1,
          batchDeadlineMilliseconds: 1,
          keptAnswerMilliseconds: 1,
        },
      }),
    },
  },
});

/**
 * Keepers in this process, connected over loopback, with a log and a host list
 * in memory.
 */
export class Fleet {
  readonly clock = new SystemClock();
  readonly store = new MemoryLogStore(this.clock);
  readonly list = new MemoryHostList({hosts: [], endpoints: []});
  readonly keepers: Keeper[] = [];
  readonly logs: MemoryLog[] = [];
  readonly routers: FakeRouter[] = [];
  /** Heartbeat limit of keepers that are added from now on. */
  heartbeatLimitMilliseconds = 300;

  constructor() {
    this.store.append(
      'configuration',
      toBinary(ConfigurationRecordSchema, PUBLICATION),
    );
  }

  /** Starts a keeper on a new host. */
  async add(dataCenter: string): Promise<Keeper> {
    const host = `host-${this.keepers.length}`;
    const log = new MemoryLog(this.store, this.clock);
    const settings = create(KeeperSettingsSchema, {
      process: {host, dataCenter, address: '127.0.0.1'},
      ledgerStreams: 1,
      billFlushMilliseconds: 20,
      heartbeatMilliseconds: 20,
      heartbeatLimitMilliseconds: this.heartbeatLimitMilliseconds,
      fenceDelayMilliseconds: 100,
      orphanWaitMilliseconds: 100,
      checkpointRecords: 1_000,
    });
    const keeper = await Keeper.start(settings, {
      log,
      hostList: this.list,
      engines: new NoEngines(),
      clock: this.clock,
      random: new SystemRandomSource(),
      policy: new DemandGrantPolicy(),
      metrics: new NoMetrics(),
      eventLog: EventLog.create(
        process.env.KEEPER_TEST_LOG === undefined
          ? LogLevel.ERROR
          : LogLevel.DEBUG,
        {host},
      ),
    });
    this.keepers.push(keeper);
    this.logs.push(log);
    this.list.listing = {
      endpoints: [],
      hosts: [
        ...this.list.listing.hosts,
        {
          host,
          dataCenter,
          state: ListedState.Live,
          keeperAddress: keeper.identity.controlAddress,
          routerControlAddress: '',
          callerAddress: '',
        },
      ],
    };
    return keeper;
  }

  /** Opens a session of a test router with a keeper. */
  router(keeper: Keeper, incarnation = 'host/router/1'): FakeRouter {
    const {controlAddress} = keeper.identity;
    const router = new FakeRouter(incarnation, controlAddress);
    this.routers.push(router);
    return router;
  }

  /**
   * Waits for the holder of the organisation in a data centre to have a
   * witnessed grant, and returns it. The first keeper may have got a grant
   * before it had a peer, although a later keeper is the holder. It then
   * answers `NOT_HOLDER`, and a real router would follow that answer.
   */
  async holder(dataCenter: string): Promise<Keeper> {
    for (;;) {
      const localKeepers = this.keepers.filter(
        ({identity}) => identity.dataCenter === dataCenter,
      );
      const found = localKeepers.find(
        keeper =>
          localKeepers.every(
            ({parts}) =>
              parts.membership.holderOf('org') === keeper.identity.incarnation,
          ) &&
          [
            ...keeper.parts.grantManager
              .forOrganisation('org')
              .holdings.values(),
          ].some(
            holding => holding.witness !== '' && holding.spendableTokens > 0,
          ),
      );
      if (found !== undefined) {
        return found;
      }
      await pause();
    }
  }

  /** Folds the whole log. */
  ledger(): LedgerFold {
    const fold = new LedgerFold();
    for (const record of this.store.records('ledger-0')) {
      fold.apply(record.offset, record.payload);
    }
    return fold;
  }

  /** Ends all routers and keepers at once. */
  async close(): Promise<void> {
    this.routers.forEach(router => {
      router.kill();
    });
    await Promise.all(this.keepers.map(keeper => keeper.kill()));
  }
}

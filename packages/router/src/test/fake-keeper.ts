import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {MessageQueue} from '@wisteriadeal/runtime';
import {
  BeginVerdict,
  KeeperMessageSchema,
  ProcessIdentitySchema,
  RouterMessageSchema,
  type BeginAnswerSchema,
  type BeginRequest,
  type Configuration,
  type KeeperMessage,
  type MembershipSchema,
  type ProcessIdentity,
  type RouterMessage,
} from '@wisteriadeal/schema';

import {KeeperConnector, type KeeperStream} from '../keeper-connector.js';

type BeginAnswerInit = MessageInitShape<typeof BeginAnswerSchema>;
type KeeperMessageInit = MessageInitShape<typeof KeeperMessageSchema>;
type MembershipInit = MessageInitShape<typeof MembershipSchema>;

type MessageCase = NonNullable<RouterMessage['kind']['case']>;
type ValueOf<Case extends MessageCase> = Extract<
  RouterMessage['kind'],
  {case: Case}
>['value'];

/** The verdict on a begin; undefined leaves it unanswered. */
export type VerdictOf = (
  begin: BeginRequest,
  router: ProcessIdentity | undefined,
) => BeginAnswerInit | undefined;

interface OpenSession {
  readonly queue: MessageQueue<KeeperMessage>;
  router: ProcessIdentity | undefined;
}

/** A scripted keeper that records every message it receives. */
export class FakeKeeper extends KeeperConnector {
  readonly received: RouterMessage[] = [];
  /** Whether settlements are acknowledged. */
  acknowledges = true;
  /** Whether new sessions are closed at once. */
  unreachable = false;
  membership: MembershipInit = {};
  version = 1;
  private readonly sessions = new Set<OpenSession>();

  constructor(
    readonly configuration: Configuration,
    /** The verdict on each begin; undefined leaves it unanswered. */
    public verdict: VerdictOf = () => ({verdict: BeginVerdict.RESERVED}),
    private readonly incarnation = 'host-1/keeper/fake',
  ) {
    super();
  }

  override open(address: string): KeeperStream {
    const queue = new MessageQueue<KeeperMessage>();
    const session: OpenSession = {queue, router: undefined};
    if (this.unreachable) {
      queue.close();
    } else {
      this.sessions.add(session);
    }
    return {
      send: message => {
        this.handleMessage(
          session,
          create(RouterMessageSchema, message),
          address,
        );
      },
      messages: queue,
      close: () => {
        this.sessions.delete(session);
        queue.close();
      },
    };
  }

  /** Returns the messages of one kind, in the order received. */
  receivedOf<Case extends MessageCase>(wanted: Case): readonly ValueOf<Case>[] {
    return this.received
      .filter(({kind}) => kind.case === wanted)
      .map(({kind}) => kind.value as ValueOf<Case>);
  }

  /** Sends a message to every router. */
  broadcast(message: KeeperMessageInit): void {
    for (const {queue} of this.sessions) {
      queue.push(create(KeeperMessageSchema, message));
    }
  }

  /** Closes every session, as a crash would. */
  closeSessions(): void {
    for (const {queue} of this.sessions) {
      queue.close();
    }
    this.sessions.clear();
  }

  private handleMessage(
    session: OpenSession,
    message: RouterMessage,
    address: string,
  ): void {
    if (!this.sessions.has(session)) {
      return;
    }
    this.received.push(message);
    const answer = (kind: KeeperMessageInit['kind']) => {
      session.queue.push(
        create(KeeperMessageSchema, kind === undefined ? {} : {kind}),
      );
    };
    switch (message.kind.case) {
      case 'hello':
        session.router = create(ProcessIdentitySchema, message.kind.value);
        answer({
          case: 'welcome',
          value: {incarnation: this.incarnation, controlAddress: address},
        });
        answer({
          case: 'configuration',
          value: {version: this.version, configuration: this.configuration},
        });
        answer({case: 'membership', value: this.membership});
        return;
      case 'begin':
        this.answerBegin(session, message.kind.value, answer);
        return;
      case 'settle':
        if (this.acknowledges) {
          const {requestId} = message.kind.value;
          answer({case: 'settleAnswer', value: {requestId}});
        }
        return;
      default:
        return;
    }
  }

  private answerBegin(
    session: OpenSession,
    begin: BeginRequest,
    answer: (kind: KeeperMessageInit['kind']) => void,
  ): void {
    const verdict = this.verdict(begin, session.router);
    if (verdict !== undefined) {
      answer({
        case: 'beginAnswer',
        value: {
          sequence: begin.sequence,
          requestId: begin.requestId,
          grantId: 'grant-1',
          holder: this.incarnation,
          witness: 'host-2/keeper/fake',
          ...verdict,
        },
      });
    }
  }
}

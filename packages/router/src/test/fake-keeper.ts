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

import {KeeperConnector, type KeeperLink} from '../keeper-link.js';

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

/** A keeper that a test scripts; it keeps every message that it got. */
export class FakeKeeper extends KeeperConnector {
  readonly received: RouterMessage[] = [];
  /** Settlements go unacknowledged while false. */
  acknowledges = true;
  /** Nobody answers while true. */
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

  override open(address: string): KeeperLink {
    const queue = new MessageQueue<KeeperMessage>();
    const session: OpenSession = {queue, router: undefined};
    if (this.unreachable) {
      queue.close();
    } else {
      this.sessions.add(session);
    }
    return {
      send: message => {
        this.hear(session, create(RouterMessageSchema, message), address);
      },
      messages: queue,
      close: () => {
        this.sessions.delete(session);
        queue.close();
      },
    };
  }

  /** Messages of one kind, in the order in which they came. */
  heard<Case extends MessageCase>(wanted: Case): readonly ValueOf<Case>[] {
    return this.received
      .filter(({kind}) => kind.case === wanted)
      .map(({kind}) => kind.value as ValueOf<Case>);
  }

  /** Sends a message to every router. */
  tell(message: KeeperMessageInit): void {
    for (const {queue} of this.sessions) {
      queue.push(create(KeeperMessageSchema, message));
    }
  }

  /** Ends every session, as a crash would. */
  loseSessions(): void {
    for (const {queue} of this.sessions) {
      queue.close();
    }
    this.sessions.clear();
  }

  private hear(
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

import {Fate, StepError, type Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {
  BeginAnswer,
  KeeperMessage,
  ProcessIdentity,
} from '@wisteriadeal/schema';

import type {
  KeeperConnector,
  KeeperLink,
  RouterMessageInit,
} from './keeper-link.js';

/** The parts of BeginRequest that the caller of `begin` fills in. */
export interface BeginFields {
  readonly requestId: string;
  readonly organisation: string;
  readonly caller: string;
  readonly fingerprint: string;
  readonly boundTokens: number;
  readonly attemptId: string;
  readonly service: string;
  readonly idempotent: boolean;
  readonly mintedHere: boolean;
  readonly endpoint: string;
  readonly claimUnused: boolean;
}

/** One try to begin a request. */
export interface NumberedBegin extends BeginFields {
  /** Names the try among all of this router. */
  readonly beginNumber: number;
}

/** Told of what a session hears. */
export interface KeeperSessionListener {
  heard(session: KeeperSession, message: KeeperMessage): void;
  /** The session opened (a welcome came) or was lost. */
  changed(session: KeeperSession): void;
}

interface PendingBegin {
  readonly resolve: (answer: BeginAnswer) => void;
  readonly reject: (error: StepError) => void;
}

const RECONNECT_MILLISECONDS = 100;

/**
 * A begin that takes longer counts as lost. It covers what the holder may wait
 * for: tokens (2 s), a lost holder's grant (5 s more), and the round trips. A
 * holder that vanished is noticed sooner, by its connection.
 */
const BEGIN_TIMEOUT_MILLISECONDS = 8_000;

const BEGIN_STEP = 'begin at the holder';

/**
 * The session with one keeper: one task that connects, listens and connects
 * again until it is closed.
 */
export class KeeperSession {
  private link: KeeperLink | undefined;
  private welcome: ProcessIdentity | undefined;
  private sequence = 0;
  private welcomedAt = Number.POSITIVE_INFINITY;
  private readonly pending = new Map<number, PendingBegin>();
  private readonly stop = new AbortController();
  private readonly task: Promise<void>;

  constructor(
    /** `IP:port` of the keeper. */
    readonly address: string,
    private readonly self: () => ProcessIdentity,
    private readonly connector: KeeperConnector,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly listener: KeeperSessionListener,
  ) {
    this.task = this.run();
  }

  /** The keeper at the other end; undefined while there is none. */
  get keeper(): ProcessIdentity | undefined {
    return this.welcome;
  }

  /** When the session opened, on the monotonic clock; infinity while it isn't. */
  get openSince(): number {
    return this.welcomedAt;
  }

  /** Sends a message if the session is open. */
  send(message: RouterMessageInit): boolean {
    if (this.welcome === undefined || this.link === undefined) {
      return false;
    }
    this.link.send(message);
    return true;
  }

  /**
   * Asks the keeper to begin a request.
   *
   * @throws StepError; fate NotDone where nothing was sent, else Unknown: the
   *     keeper may have reserved, and the caller has to abandon the request.
   */
  async begin(begin: NumberedBegin): Promise<BeginAnswer> {
    const sequence = ++this.sequence;
    const answer = new Promise<BeginAnswer>((resolve, reject) => {
      this.pending.set(sequence, {resolve, reject});
    });
    const sent = this.send({
      kind: {case: 'begin', value: {...begin, sequence}},
    });
    if (!sent) {
      this.pending.delete(sequence);
      throw new StepError(BEGIN_STEP, this.address, Fate.NotDone, 'no session');
    }
    const timer = new AbortController();
    void this.clock.sleep(BEGIN_TIMEOUT_MILLISECONDS, timer.signal).then(() => {
      this.fail(sequence, 'timeout');
    });
    try {
      return await answer;
    } finally {
      timer.abort();
    }
  }

  /** Ends the session; a Goodbye sent before is delivered. */
  async close(): Promise<void> {
    this.link?.close();
    const limit = new AbortController();
    await Promise.race([
      this.task,
      this.clock.sleep(RECONNECT_MILLISECONDS, limit.signal),
    ]);
    limit.abort();
    this.stop.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      const reason = await this.converse();
      this.lost(reason);
      await this.clock.sleep(RECONNECT_MILLISECONDS, this.stop.signal);
    }
  }

  /** One stream from open to end; returns why it ended. */
  private async converse(): Promise<string> {
    try {
      const link = this.connector.open(this.address, this.stop.signal);
      this.link = link;
      link.send({kind: {case: 'hello', value: this.self()}});
      for await (const message of link.messages) {
        this.hear(message);
      }
      return 'the keeper ended the session';
    } catch (error) {
      return error instanceof Error ? error.message : String(error);
    }
  }

  private hear(message: KeeperMessage): void {
    const {kind} = message;
    if (kind.case === 'welcome') {
      this.welcome = kind.value;
      this.welcomedAt = this.clock.monotonicMilliseconds();
      this.log.info('keeper-session-open', {
        peer: this.address,
        keeper: kind.value.incarnation,
      });
      this.listener.changed(this);
    } else if (kind.case === 'beginAnswer') {
      this.pending.get(kind.value.sequence)?.resolve(kind.value);
      this.pending.delete(kind.value.sequence);
    } else {
      this.listener.heard(this, message);
    }
  }

  private lost(reason: string): void {
    const wasOpen = this.welcome !== undefined;
    this.link = undefined;
    this.welcome = undefined;
    this.welcomedAt = Number.POSITIVE_INFINITY;
    for (const sequence of [...this.pending.keys()]) {
      this.fail(sequence, reason);
    }
    if (wasOpen) {
      this.log.warn('keeper-session-lost', {peer: this.address, reason});
      this.listener.changed(this);
    }
  }

  private fail(sequence: number, reason: string): void {
    const pending = this.pending.get(sequence);
    this.pending.delete(sequence);
    pending?.reject(
      new StepError(BEGIN_STEP, this.address, Fate.Unknown, reason),
    );
  }
}

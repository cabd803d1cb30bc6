import {Fate, StepError, type Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {
  BeginAnswer,
  KeeperMessage,
  ProcessIdentity,
} from '@wisteriadeal/schema';

import type {
  KeeperConnector,
  KeeperStream,
  RouterMessageInit,
} from './keeper-connector.js';

/** The fields of BeginRequest that describe the request. */
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

/** One attempt to begin a request. */
export interface NumberedBegin extends BeginFields {
  /** Identifies the begin among all begins of this router. */
  readonly beginNumber: number;
}

/** Listener for the messages and state changes of a session. */
export interface KeeperSessionListener {
  messageReceived(session: KeeperSession, message: KeeperMessage): void;
  /** Called when the session opened (a welcome was received) or was lost. */
  stateChanged(session: KeeperSession): void;
}

interface PendingBegin {
  readonly resolve: (answer: BeginAnswer) => void;
  readonly reject: (error: StepError) => void;
}

const RECONNECT_DELAY_MILLISECONDS = 100;

/**
 * Time after which an unanswered begin counts as lost. It covers the holder's
 * waits for tokens (2 s) and for a lost holder's grant (5 s more), and the round
 * trips. A failed holder is detected earlier, when its connection closes.
 */
const BEGIN_TIMEOUT_MILLISECONDS = 8_000;

const BEGIN_STEP = 'begin at the holder';

/**
 * The session with one keeper. A single task connects, receives messages, and
 * reconnects until the session is closed.
 */
export class KeeperSession {
  private stream: KeeperStream | undefined;
  private welcomedBy: ProcessIdentity | undefined;
  private sequence = 0;
  private openedAt = Number.POSITIVE_INFINITY;
  private readonly pending = new Map<number, PendingBegin>();
  private readonly stopController = new AbortController();
  private readonly task: Promise<void>;

  constructor(
    /** `IP:port` of the keeper. */
    readonly address: string,
    private readonly identity: () => ProcessIdentity,
    private readonly connector: KeeperConnector,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly listener: KeeperSessionListener,
  ) {
    this.task = this.run();
  }

  /** The keeper's identity; undefined while the session is not open. */
  get keeper(): ProcessIdentity | undefined {
    return this.welcomedBy;
  }

  /**
   * Monotonic time in milliseconds at which the session opened; infinity while it
   * is not open.
   */
  get openSince(): number {
    return this.openedAt;
  }

  /** Sends a message; returns false if the session is not open. */
  send(message: RouterMessageInit): boolean {
    if (this.welcomedBy === undefined || this.stream === undefined) {
      return false;
    }
    this.stream.send(message);
    return true;
  }

  /**
   * Sends a begin and waits for the keeper's verdict.
   *
   * @throws StepError with fate NotDone if nothing was sent; with fate Unknown if
   *     no verdict arrived: the keeper may have made a reservation, so the request
   *     must be abandoned.
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
    const timeoutController = new AbortController();
    void this.clock
      .sleep(BEGIN_TIMEOUT_MILLISECONDS, timeoutController.signal)
      .then(() => {
        this.rejectBegin(sequence, 'timeout');
      });
    try {
      return await answer;
    } finally {
      timeoutController.abort();
    }
  }

  /**
   * Closes the session. A goodbye sent before has the reconnect delay to be
   * delivered.
   */
  async close(): Promise<void> {
    this.stream?.close();
    const timeoutController = new AbortController();
    await Promise.race([
      this.task,
      this.clock.sleep(RECONNECT_DELAY_MILLISECONDS, timeoutController.signal),
    ]);
    timeoutController.abort();
    this.stopController.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    while (!this.stopController.signal.aborted) {
      const reason = await this.runStream();
      this.handleStreamEnd(reason);
      await this.clock.sleep(
        RECONNECT_DELAY_MILLISECONDS,
        this.stopController.signal,
      );
    }
  }

  /** Runs one stream from open to end; returns the reason for its end. */
  private async runStream(): Promise<string> {
    try {
      const stream = this.connector.open(
        this.address,
        this.stopController.signal,
      );
      this.stream = stream;
      stream.send({kind: {case: 'hello', value: this.identity()}});
      for await (const message of stream.messages) {
        this.handleMessage(message);
      }
      return 'the keeper ended the session';
    } catch (error) {
      return error instanceof Error ? error.message : String(error);
    }
  }

  private handleMessage(message: KeeperMessage): void {
    const {kind} = message;
    if (kind.case === 'welcome') {
      this.welcomedBy = kind.value;
      this.openedAt = this.clock.monotonicMilliseconds();
      this.log.info('keeper-session-open', {
        peer: this.address,
        keeper: kind.value.incarnation,
      });
      this.listener.stateChanged(this);
    } else if (kind.case === 'beginAnswer') {
      this.pending.get(kind.value.sequence)?.resolve(kind.value);
      this.pending.delete(kind.value.sequence);
    } else {
      this.listener.messageReceived(this, message);
    }
  }

  private handleStreamEnd(reason: string): void {
    const wasOpen = this.welcomedBy !== undefined;
    this.stream = undefined;
    this.welcomedBy = undefined;
    this.openedAt = Number.POSITIVE_INFINITY;
    for (const sequence of [...this.pending.keys()]) {
      this.rejectBegin(sequence, reason);
    }
    if (wasOpen) {
      this.log.warn('keeper-session-lost', {peer: this.address, reason});
      this.listener.stateChanged(this);
    }
  }

  private rejectBegin(sequence: number, reason: string): void {
    const pending = this.pending.get(sequence);
    this.pending.delete(sequence);
    pending?.reject(
      new StepError(BEGIN_STEP, this.address, Fate.Unknown, reason),
    );
  }
}

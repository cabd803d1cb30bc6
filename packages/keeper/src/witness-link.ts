import {create} from '@bufbuild/protobuf';
import type {Clock} from '@wisteriadeal/platform';
import {MessageQueue, type EventLog} from '@wisteriadeal/runtime';
import {
  HolderMessageSchema,
  type BookChange,
  type HolderMessage,
  type ProcessIdentity,
  type WitnessMessage,
} from '@wisteriadeal/schema';

import type {KeeperClient} from './peer-clients.js';

/** What became of a change that was sent to a witness. */
export enum Acknowledgement {
  /** The witness has it. */
  Applied = 'applied',
  /** The witness has fenced the grant: nothing may be dispatched under it. */
  Fenced = 'fenced',
  /** The witness has no book of the grant and needs the whole of it first. */
  Unknown = 'unknown',
  /** Nobody knows; nothing may be dispatched on its strength. */
  Lost = 'lost',
}

/** Between two tries to reach a witness. */
const RECONNECT_MILLISECONDS = 200;

interface WaitingChange {
  readonly sequence: number;
  readonly grantId: string;
  readonly resolve: (acknowledgement: Acknowledgement) => void;
}

/** The books that a witness must know, whole. */
export type SnapshotSource = (witness: string) => readonly BookChange[];

/**
 * The stream from this keeper, as a holder, to one witness. A new stream starts
 * with the whole of each book, so it does not matter which of the last changes
 * of the old stream had arrived.
 */
export class WitnessLink {
  private sequence = 0;
  private queue: MessageQueue<HolderMessage> | undefined;
  private waiting: WaitingChange[] = [];
  private batch: BookChange[] = [];
  private connected = false;
  private readonly stopping = new AbortController();
  private readonly connectionWaiters = new Set<() => void>();

  constructor(
    private readonly self: ProcessIdentity,
    readonly witness: string,
    private readonly client: KeeperClient,
    private readonly snapshot: SnapshotSource,
    private readonly acknowledgeLimitMilliseconds: number,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
  ) {}

  /** Whether the witness has the books and the stream is open. */
  get isConnected(): boolean {
    return this.connected;
  }

  /**
   * Sends one change; changes of one turn share a message. Without an open
   * stream it waits for one, up to the limit.
   */
  async send(change: BookChange): Promise<Acknowledgement> {
    if (!this.connected && !(await this.untilConnected())) {
      return Acknowledgement.Lost;
    }
    const {promise, resolve} = withResolver();
    this.batch.push(change);
    this.waiting.push({
      sequence: this.sequence + 1,
      grantId: change.grantId,
      resolve,
    });
    if (this.batch.length === 1) {
      setImmediate(() => {
        this.flush();
      });
    }
    return this.withLimit(promise);
  }

  /** Keeps the stream open until `close`. */
  async run(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      try {
        await this.connect(signal);
      } catch (error) {
        this.eventLog.debug('witness lost', {
          peer: this.witness,
          reason: String(error),
        });
      }
      this.disconnect();
      await this.clock.sleep(RECONNECT_MILLISECONDS, signal);
    }
  }

  /** Ends the stream; what waits is lost. */
  close(): void {
    this.stopping.abort();
    this.disconnect();
  }

  private async connect(signal: AbortSignal): Promise<void> {
    const queue = new MessageQueue<HolderMessage>();
    this.queue = queue;
    queue.push(
      create(HolderMessageSchema, {kind: {case: 'hello', value: this.self}}),
    );
    const answers = this.client.replicate(queue, {signal});
    for await (const answer of answers) {
      if (!this.accept(answer)) {
        return;
      }
    }
  }

  /** @returns False where the peer is another incarnation than was named. */
  private accept(message: WitnessMessage): boolean {
    if (message.kind.case === 'welcome') {
      if (message.kind.value.incarnation !== this.witness) {
        return false;
      }
      this.batch = [...this.snapshot(this.witness)];
      this.connected = true;
      this.flush();
      this.connectionWaiters.forEach(resolve => {
        resolve();
      });
      return true;
    }
    if (message.kind.case === 'answer') {
      const {sequence, fencedGrants, unknownGrants} = message.kind.value;
      const fenced = new Set(fencedGrants);
      const unknown = new Set(unknownGrants);
      const done = this.waiting.filter(item => item.sequence <= sequence);
      this.waiting = this.waiting.filter(item => item.sequence > sequence);
      for (const item of done) {
        item.resolve(
          unknown.has(item.grantId)
            ? Acknowledgement.Unknown
            : fenced.has(item.grantId)
              ? Acknowledgement.Fenced
              : Acknowledgement.Applied,
        );
      }
    }
    return true;
  }

  private flush(): void {
    if (this.batch.length === 0 || this.queue === undefined) {
      return;
    }
    this.sequence += 1;
    this.queue.push(
      create(HolderMessageSchema, {
        kind: {
          case: 'batch',
          value: {sequence: this.sequence, changes: this.batch},
        },
      }),
    );
    this.batch = [];
  }

  private disconnect(): void {
    this.connected = false;
    this.queue?.close();
    this.queue = undefined;
    this.batch = [];
    const lost = this.waiting;
    this.waiting = [];
    lost.forEach(item => {
      item.resolve(Acknowledgement.Lost);
    });
  }

  private async untilConnected(): Promise<boolean> {
    const {promise, resolve} = withResolver();
    const finish = () => {
      resolve(Acknowledgement.Applied);
    };
    this.connectionWaiters.add(finish);
    await this.withLimit(promise);
    this.connectionWaiters.delete(finish);
    return this.connected;
  }

  /**
   * A peer that is paused, or cut off without a reset, never answers. After the
   * limit the change counts as lost: the request is refused, not dispatched.
   */
  private async withLimit(
    promise: Promise<Acknowledgement>,
  ): Promise<Acknowledgement> {
    const ended = new AbortController();
    const limit = this.clock
      .sleep(this.acknowledgeLimitMilliseconds, ended.signal)
      .then(() => Acknowledgement.Lost);
    const first = await Promise.race([promise, limit]);
    ended.abort();
    return first;
  }
}

function withResolver(): {
  promise: Promise<Acknowledgement>;
  resolve: (acknowledgement: Acknowledgement) => void;
} {
  let resolve: (acknowledgement: Acknowledgement) => void = () => undefined;
  const promise = new Promise<Acknowledgement>(resolvePromise => {
    resolve = resolvePromise;
  });
  return {promise, resolve};
}

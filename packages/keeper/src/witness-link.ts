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

/** The result of sending a change to a witness. */
export enum Acknowledgement {
  /** The witness has stored the change. */
  Applied = 'applied',
  /**
   * The witness has fenced the grant; requests must not be dispatched under it.
   */
  Fenced = 'fenced',
  /** The witness has no book of the grant, and needs the full book first. */
  UnknownGrant = 'unknown-grant',
  /**
   * There was no acknowledgement; the change must not be relied on for a
   * dispatch.
   */
  Unconfirmed = 'unconfirmed',
}

/** Delay between two attempts to connect to a witness. */
const RECONNECT_DELAY_MILLISECONDS = 200;

interface UnacknowledgedChange {
  readonly sequence: number;
  readonly grantId: string;
  readonly resolve: (acknowledgement: Acknowledgement) => void;
}

/** Returns the full books of all grants that a witness must have. */
export type SnapshotSource = (witness: string) => readonly BookChange[];

/**
 * The stream from this keeper, as a holder, to one witness. A new stream starts
 * with the full book of each grant, so it does not matter which of the last
 * changes on the old stream have arrived.
 */
export class WitnessLink {
  private sequence = 0;
  private streamNumber = 0;
  private queue: MessageQueue<HolderMessage> | undefined;
  private unacknowledged: UnacknowledgedChange[] = [];
  private batch: BookChange[] = [];
  private connected = false;
  private readonly stopController = new AbortController();
  private readonly connectionWaiters = new Set<() => void>();

  constructor(
    private readonly self: ProcessIdentity,
    readonly witness: string,
    private readonly client: KeeperClient,
    private readonly snapshotSource: SnapshotSource,
    private readonly nextStreamNumber: () => number,
    private readonly acknowledgementTimeoutMilliseconds: number,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
  ) {}

  /** Whether the stream is open and the full books were sent. */
  get isConnected(): boolean {
    return this.connected;
  }

  /**
   * Sends one change; changes of the same turn of the event loop share a
   * message. If the stream is not open, waits for it up to the timeout, and
   * then sends the book as it is by that time: newer changes may have been sent
   * before it, and this one would undo them.
   */
  async send(
    change: BookChange,
    createBook = () => change,
  ): Promise<Acknowledgement> {
    let current = change;
    if (!this.connected) {
      if (!(await this.waitUntilConnected())) {
        return Acknowledgement.Unconfirmed;
      }
      current = createBook();
    }
    const {promise, resolve} = acknowledgementResolver();
    this.batch.push(current);
    this.unacknowledged.push({
      sequence: this.sequence + 1,
      grantId: current.grantId,
      resolve,
    });
    if (this.batch.length === 1) {
      setImmediate(() => {
        this.flush();
      });
    }
    return this.withTimeout(promise);
  }

  /**
   * Keeps the stream open, and reconnects after failures, until `close` is
   * called.
   */
  async run(): Promise<void> {
    const {signal} = this.stopController;
    while (!signal.aborted) {
      try {
        await this.connect(signal);
      } catch (error) {
        this.eventLog.debug('witness stream failed', {
          peer: this.witness,
          reason: String(error),
        });
      }
      this.disconnect();
      await this.clock.sleep(RECONNECT_DELAY_MILLISECONDS, signal);
    }
  }

  /**
   * Ends the stream; changes without an acknowledgement resolve as
   * `Unconfirmed`.
   */
  close(): void {
    this.stopController.abort();
    this.disconnect();
  }

  private async connect(signal: AbortSignal): Promise<void> {
    const queue = new MessageQueue<HolderMessage>();
    this.queue = queue;
    this.streamNumber = this.nextStreamNumber();
    queue.push(
      create(HolderMessageSchema, {kind: {case: 'hello', value: this.self}}),
    );
    const answers = this.client.replicate(queue, {signal});
    for await (const answer of answers) {
      if (!this.handleMessage(answer)) {
        return;
      }
    }
  }

  /**
   * @returns False if the peer is a different incarnation than the expected
   * witness.
   */
  private handleMessage(message: WitnessMessage): boolean {
    if (message.kind.case === 'welcome') {
      if (message.kind.value.incarnation !== this.witness) {
        return false;
      }
      this.batch = [...this.snapshotSource(this.witness)];
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
      const acknowledged = this.unacknowledged.filter(
        item => item.sequence <= sequence,
      );
      this.unacknowledged = this.unacknowledged.filter(
        item => item.sequence > sequence,
      );
      for (const item of acknowledged) {
        item.resolve(
          unknown.has(item.grantId)
            ? Acknowledgement.UnknownGrant
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
          value: {
            sequence: this.sequence,
            streamNumber: this.streamNumber,
            changes: this.batch,
          },
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
    const unconfirmed = this.unacknowledged;
    this.unacknowledged = [];
    unconfirmed.forEach(item => {
      item.resolve(Acknowledgement.Unconfirmed);
    });
  }

  private async waitUntilConnected(): Promise<boolean> {
    const {promise, resolve} = acknowledgementResolver();
    const finish = () => {
      resolve(Acknowledgement.Applied);
    };
    this.connectionWaiters.add(finish);
    await this.withTimeout(promise);
    this.connectionWaiters.delete(finish);
    return this.connected;
  }

  /**
   * Limits the wait for an acknowledgement. A peer that is paused, or
   * partitioned without a connection reset, never answers. After the timeout
   * the change counts as unconfirmed, and the request is refused instead of
   * dispatched.
   */
  private async withTimeout(
    promise: Promise<Acknowledgement>,
  ): Promise<Acknowledgement> {
    const timeoutController = new AbortController();
    const timeout = this.clock
      .sleep(this.acknowledgementTimeoutMilliseconds, timeoutController.signal)
      .then(() => Acknowledgement.Unconfirmed);
    const acknowledgement = await Promise.race([promise, timeout]);
    timeoutController.abort();
    return acknowledgement;
  }
}

function acknowledgementResolver(): {
  promise: Promise<Acknowledgement>;
  resolve: (acknowledgement: Acknowledgement) => void;
} {
  let resolve: (acknowledgement: Acknowledgement) => void = () => undefined;
  const promise = new Promise<Acknowledgement>(resolvePromise => {
    resolve = resolvePromise;
  });
  return {promise, resolve};
}

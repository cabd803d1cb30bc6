import {Fate, StepError, type Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {BeginVerdict, type Bill, type BeginAnswer} from '@wisteriadeal/schema';

import type {KeeperDirectory} from './keeper-directory.js';
import type {RouterMessageInit} from './keeper-link.js';
import type {BeginFields, KeeperSession} from './keeper-session.js';
import type {Attempt, Reservation} from './request-life.js';

/**
 * A begin is tried at most this often: the first holder, the one that it names,
 * and two more while a lost holder is being replaced.
 */
const MAXIMUM_BEGINS = 4;
const BEGIN_PAUSE_MILLISECONDS = 100;
const SETTLE_REPEAT_MILLISECONDS = 500;

/** Who is told about a request. */
export interface Reserved {
  readonly requestId: string;
  readonly organisation: string;
  readonly reservation: Reservation;
}

/** Talks to whichever keeper holds an organisation. */
export class HolderClient {
  private readonly unacknowledged = new Map<string, () => void>();

  constructor(
    private readonly directory: KeeperDirectory,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Number of settlements that no keeper has acknowledged. */
  get openSettlements(): number {
    return this.unacknowledged.size;
  }

  /**
   * Begins a request at its organisation's holder.
   *
   * @throws StepError where no holder gave a verdict; nothing was dispatched,
   *     and what a keeper may have reserved is abandoned.
   */
  async begin(fields: BeginFields): Promise<BeginAnswer> {
    let named: string | undefined;
    let failure = new StepError(
      'begin at the holder',
      fields.organisation,
      Fate.NotDone,
      'no keeper of this data centre is in reach',
    );
    for (let round = 0; round < MAXIMUM_BEGINS; round++) {
      if (round > 0) {
        await this.clock.sleep(BEGIN_PAUSE_MILLISECONDS * (round - 1));
      }
      const session =
        this.sessionNamed(named) ??
        this.directory.holderOf(fields.organisation);
      if (session === undefined) {
        continue;
      }
      try {
        const answer = await session.begin(fields);
        if (answer.verdict !== BeginVerdict.NOT_HOLDER) {
          return answer;
        }
        named = answer.holder;
      } catch (error) {
        if (!(error instanceof StepError)) {
          throw error;
        }
        failure = error;
        named = undefined;
        this.log.warn('begin-lost', {
          request: fields.requestId,
          organisation: fields.organisation,
          step: error.step,
          peer: error.peer,
          reason: error.reason,
        });
      }
    }
    this.abandon({
      requestId: fields.requestId,
      organisation: fields.organisation,
      reservation: {grantId: '', holder: '', witness: ''},
    });
    throw failure;
  }

  /** Tells the holder, before the first byte leaves for the endpoint. */
  dispatching(reserved: Reserved, attempt: Attempt): void {
    this.sendToKnowing(reserved, {
      kind: {
        case: 'dispatching',
        value: {requestId: reserved.requestId, attempt},
      },
    });
  }

  /** Releases the reservation of a request that was never dispatched. */
  abandon(reserved: Reserved): void {
    this.sendToKnowing(reserved, {
      kind: {
        case: 'abandon',
        value: {
          requestId: reserved.requestId,
          organisation: reserved.organisation,
          grantId: reserved.reservation.grantId,
        },
      },
    });
  }

  /**
   * Repeats the settlement until a keeper acknowledges it. A lost settlement
   * would leave the bound charged though the usage is known.
   */
  async settle(reserved: Reserved, bill: Bill): Promise<void> {
    const {requestId, organisation, reservation} = reserved;
    const acknowledged = new AbortController();
    this.unacknowledged.set(requestId, () => {
      acknowledged.abort();
    });
    while (!acknowledged.signal.aborted) {
      this.sendToKnowing(reserved, {
        kind: {
          case: 'settle',
          value: {
            requestId,
            organisation,
            grantId: reservation.grantId,
            bill,
          },
        },
      });
      await this.clock.sleep(SETTLE_REPEAT_MILLISECONDS, acknowledged.signal);
    }
  }

  /** A keeper acknowledged a settlement. */
  settled(requestId: string): void {
    this.unacknowledged.get(requestId)?.();
    this.unacknowledged.delete(requestId);
  }

  private sessionNamed(incarnation: string | undefined) {
    return incarnation === undefined
      ? undefined
      : this.directory.sessionOf(incarnation);
  }

  /**
   * The holder that reserved, else its witness, which knows every reservation
   * and inherits it, else whoever would hold the organisation now.
   */
  private sendToKnowing(reserved: Reserved, message: RouterMessageInit): void {
    const {holder, witness} = reserved.reservation;
    const session: KeeperSession | undefined =
      this.sessionNamed(holder) ??
      this.sessionNamed(witness) ??
      this.directory.holderOf(reserved.organisation);
    if (session?.send(message) !== true) {
      this.log.warn('keeper-unreachable', {
        request: reserved.requestId,
        organisation: reserved.organisation,
        step: message.kind?.case,
        peer: holder,
      });
    }
  }
}

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

/**
 * A claim older than this may have been given up, so nothing is dispatched on
 * it. Shorter than a begin may take: that one also covers idempotent requests,
 * which lose nothing by waiting for a lost holder's grant.
 */
const CLAIM_LEASE_MILLISECONDS = 3_000;

const SETTLE_REPEAT_MILLISECONDS = 500;

/** An abandon is kept for a minute while no keeper is in reach. */
const MAXIMUM_ABANDONS = 120;

function abandonOf(
  requestId: string,
  organisation: string,
  grantId: string,
  lostBegins: readonly number[] = [],
): RouterMessageInit {
  const value = {
    requestId,
    organisation,
    grantId,
    lostBegins: [...lostBegins],
  };
  return {kind: {case: 'abandon', value}};
}

/** Who is told about a request. */
export interface Reserved {
  readonly requestId: string;
  readonly organisation: string;
  readonly reservation: Reservation;
}

/** Talks to whichever keeper holds an organisation. */
export class HolderClient {
  private readonly unacknowledged = new Map<string, () => void>();
  private begins = 0;

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
   * A begin whose answer was lost may have reserved. Without an abandon before
   * the next begin, the keeper would take that for a retry of a request that
   * already runs here and send it to this very router; the caller would be
   * refused and the tokens stay reserved for as long as this router lives. Where
   * the holder was lost with the answer, its witness would bill them.
   *
   * @throws StepError where no holder gave a verdict; nothing was dispatched,
   *     and what a keeper may have reserved is abandoned.
   */
  async begin(fields: BeginFields): Promise<BeginAnswer> {
    const lostBegins: number[] = [];
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
      if (failure.fate === Fate.Unknown) {
        const {requestId, organisation} = fields;
        session.send(abandonOf(requestId, organisation, '', lostBegins));
      }
      const beginNumber = ++this.begins;
      try {
        const answer = await session.begin({...fields, beginNumber});
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
        lostBegins.push(beginNumber);
        this.log.warn('begin-lost', {
          request: fields.requestId,
          organisation: fields.organisation,
          step: error.step,
          peer: error.peer,
          reason: error.reason,
        });
      }
    }
    if (failure.fate === Fate.Unknown) {
      this.abandonUnanswered(fields, lostBegins);
    }
    throw failure;
  }

  /**
   * True while the claim behind a reservation is certainly still this router's:
   * the session over which it was asked for has been open ever since, and the
   * asking is not long ago.
   *
   * A router that was paused (or whose session broke) wakes with the reservation
   * as the first thing that it reads, while its holder has long answered a retry
   * otherwise. The symptom would be a certificate issued after its caller was
   * told something else. The holder never lets a claimed request run again, so a
   * pause after this check can't issue a second one; the check is what keeps the
   * answers true in all but that last moment.
   */
  claimStands({holder, askedAt}: Reservation): boolean {
    const session = this.directory.sessionOf(holder);
    return (
      session !== undefined &&
      session.openSince <= askedAt &&
      this.clock.monotonicMilliseconds() - askedAt <= CLAIM_LEASE_MILLISECONDS
    );
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

  /**
   * Releases the reservation of a request that was never dispatched. Where no
   * keeper is in reach, it is sent once one is: the tokens would stay reserved
   * for as long as this router lives.
   */
  async abandon(
    reserved: Reserved,
    lostBegins: readonly number[] = [],
  ): Promise<void> {
    const {requestId, organisation, reservation} = reserved;
    const message = abandonOf(
      requestId,
      organisation,
      reservation.grantId,
      lostBegins,
    );
    for (let tries = 0; tries < MAXIMUM_ABANDONS; tries++) {
      if (this.sendToKnowing(reserved, message)) {
        return;
      }
      await this.clock.sleep(SETTLE_REPEAT_MILLISECONDS);
    }
  }

  /**
   * Releases what begins without an answer may have reserved.
   *
   * @param lostBegins Their numbers, as far as they are known.
   */
  abandonUnanswered(
    fields: BeginFields,
    lostBegins: readonly number[] = [],
  ): void {
    const {requestId, organisation} = fields;
    const reservation = {grantId: '', holder: '', witness: '', askedAt: 0};
    void this.abandon({requestId, organisation, reservation}, lostBegins);
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
  private sendToKnowing(
    reserved: Reserved,
    message: RouterMessageInit,
  ): boolean {
    const {holder, witness} = reserved.reservation;
    const session: KeeperSession | undefined =
      this.sessionNamed(holder) ??
      this.sessionNamed(witness) ??
      this.directory.holderOf(reserved.organisation);
    const sent = session?.send(message) === true;
    if (!sent) {
      this.log.warn('keeper-unreachable', {
        request: reserved.requestId,
        organisation: reserved.organisation,
        step: message.kind?.case,
        peer: holder,
      });
    }
    return sent;
  }
}

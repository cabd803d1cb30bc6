import {Fate, StepError, type Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {BeginVerdict, type Bill, type BeginAnswer} from '@wisteriadeal/schema';

import type {KeeperDirectory} from './keeper-directory.js';
import type {RouterMessageInit} from './keeper-connector.js';
import type {BeginFields, KeeperSession} from './keeper-session.js';
import type {Attempt, Reservation} from './request-state.js';

/**
 * Maximum number of begins for one request: one to the expected holder, one to
 * the holder that it names, and two more while a lost holder is being replaced.
 */
const MAXIMUM_BEGINS = 4;
const BEGIN_RETRY_DELAY_MILLISECONDS = 100;

/**
 * Time after which the holder may have given up a claim, so no call is dispatched
 * with an older one. It is shorter than the begin timeout, which also covers
 * idempotent requests; those can safely wait for a lost holder's grant.
 */
const CLAIM_LEASE_MILLISECONDS = 3_000;

/** Interval of resending settlements and abandons. */
const RESEND_INTERVAL_MILLISECONDS = 500;

/** Retries an abandon for one minute while no keeper is reachable. */
const MAXIMUM_ABANDON_SENDS = 120;

/** Resends a settlement to the current holder once in this many times. */
const SENDS_PER_CURRENT_HOLDER_SEND = 4;

/**
 * Abandons kept to tell another keeper if the one that was told is lost. It
 * may be needed until a reservation has been inherited after a partition.
 */
const MAXIMUM_DELIVERED_ABANDONS = 5_000;
const DELIVERED_ABANDON_RETENTION_MILLISECONDS = 2 * 3_600_000;

/** An abandon message with the keeper that it was sent to. */
interface DeliveredAbandon {
  readonly reserved: ReservedRequest;
  readonly message: RouterMessageInit;
  readonly deliveredAt: number;
  /** Incarnation of the keeper. */
  readonly keeper: string;
}

/** A request with its reservation, which names the keepers to notify. */
export interface ReservedRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly reservation: Reservation;
}

const NO_RESERVATION: Reservation = {
  grantId: '',
  holder: '',
  witness: '',
  beginSentAt: 0,
};

/** Sends requests and their bills to the keeper that holds an organisation. */
export class HolderClient {
  private readonly unacknowledged = new Map<string, () => void>();
  private deliveredAbandons: DeliveredAbandon[] = [];
  private undeliveredAbandons = 0;
  private lastBeginNumber = 0;

  constructor(
    private readonly directory: KeeperDirectory,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    directory.addSessionListener(() => {
      this.resendAbandons();
    });
  }

  /** Number of settlements not yet acknowledged by a keeper. */
  get openSettlements(): number {
    return this.unacknowledged.size;
  }

  /** Number of abandons that no keeper could be sent yet. */
  get openAbandons(): number {
    return this.undeliveredAbandons;
  }

  /**
   * Begins a request at its organisation's holder.
   *
   * A begin whose answer was lost may have made a reservation, so an abandon is
   * sent before the next begin. Without it, the keeper would treat the next begin
   * as a retry of a request that already runs at this router and return a join
   * with this router; the caller would be refused, and the tokens would stay
   * reserved for the lifetime of this router. If the holder was lost together
   * with the answer, its witness would bill them.
   *
   * @throws StepError if no holder gave a verdict. Nothing was dispatched, and
   *     any reservation that a keeper may have made is abandoned.
   */
  async begin(fields: BeginFields): Promise<BeginAnswer> {
    const lostBegins: number[] = [];
    let namedHolder: string | undefined;
    let failure = new StepError(
      'begin at the holder',
      fields.organisation,
      Fate.NotDone,
      'no keeper of this data centre is reachable',
    );
    for (let round = 0; round < MAXIMUM_BEGINS; round++) {
      if (round > 0) {
        await this.clock.sleep(BEGIN_RETRY_DELAY_MILLISECONDS * (round - 1));
      }
      const session =
        this.findSession(namedHolder) ??
        this.directory.holderOf(fields.organisation);
      if (session === undefined) {
        continue;
      }
      if (failure.fate === Fate.Unknown) {
        const {requestId, organisation} = fields;
        session.send(
          this.abandonMessage(requestId, organisation, '', lostBegins),
        );
      }
      const beginNumber = ++this.lastBeginNumber;
      try {
        const answer = await session.begin({...fields, beginNumber});
        if (answer.verdict !== BeginVerdict.NOT_HOLDER) {
          this.recordNotRun(fields, answer, session, beginNumber);
          return answer;
        }
        namedHolder = answer.holder;
      } catch (error) {
        if (!(error instanceof StepError)) {
          throw error;
        }
        failure = error;
        namedHolder = undefined;
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
   * Returns true while this router certainly still owns the claim of a
   * reservation: the session over which the begin was sent has stayed open since,
   * and the begin is at most `CLAIM_LEASE_MILLISECONDS` old.
   *
   * A router that was paused, or whose session broke, may read the reservation
   * after its holder has given a different answer to a retry. Without this check
   * a certificate could be issued after its caller was told another outcome. The
   * holder never lets a claimed request run again, so a pause after this check
   * can't issue a second certificate; it can only make the reported outcome
   * wrong, in the short time between the check and the dispatch.
   */
  isClaimValid({holder, beginSentAt}: Reservation): boolean {
    const session = this.directory.sessionOf(holder);
    return (
      session !== undefined &&
      session.openSince <= beginSentAt &&
      this.clock.monotonicMilliseconds() - beginSentAt <=
        CLAIM_LEASE_MILLISECONDS
    );
  }

  /** Notifies the holder before the first byte is sent to the endpoint. */
  sendDispatching(reserved: ReservedRequest, attempt: Attempt): void {
    this.sendToHolder(reserved, {
      kind: {
        case: 'dispatching',
        value: {requestId: reserved.requestId, attempt},
      },
    });
  }

  /**
   * Releases the reservation of a request that was never dispatched. While no
   * keeper is reachable, the message is retried for up to one minute; otherwise
   * the tokens would stay reserved for the lifetime of this router.
   */
  async abandon(
    reserved: ReservedRequest,
    lostBegins: readonly number[] = [],
  ): Promise<void> {
    const {requestId, organisation, reservation} = reserved;
    const message = this.abandonMessage(
      requestId,
      organisation,
      reservation.grantId,
      lostBegins,
    );
    this.undeliveredAbandons += 1;
    for (let tries = 0; tries < MAXIMUM_ABANDON_SENDS; tries++) {
      if (this.deliverAbandon(reserved, message)) {
        break;
      }
      await this.clock.sleep(RESEND_INTERVAL_MILLISECONDS);
    }
    this.undeliveredAbandons -= 1;
  }

  /**
   * Releases reservations that unanswered begins may have made.
   *
   * @param lostBegins Numbers of these begins, if known.
   */
  abandonUnanswered(
    fields: BeginFields,
    lostBegins: readonly number[] = [],
  ): void {
    const {requestId, organisation} = fields;
    const reservation = NO_RESERVATION;
    void this.abandon({requestId, organisation, reservation}, lostBegins);
  }

  /**
   * Resends a settlement until a keeper acknowledges it. If it were lost, the full
   * reservation would stay charged although the usage is known.
   */
  async settle(reserved: ReservedRequest, bill: Bill): Promise<void> {
    const {requestId, organisation, reservation} = reserved;
    const acknowledged = new AbortController();
    this.unacknowledged.set(requestId, () => {
      acknowledged.abort();
    });
    const {grantId} = reservation;
    const message: RouterMessageInit = {
      kind: {
        case: 'settle',
        value: {requestId, organisation, grantId, bill},
      },
    };
    for (let sends = 1; !acknowledged.signal.aborted; sends++) {
      // The keeper that made the reservation may be unable to store the bill.
      const isForCurrentHolder = sends % SENDS_PER_CURRENT_HOLDER_SEND === 0;
      this.sendToHolder(
        isForCurrentHolder ? withoutKeepers(reserved) : reserved,
        message,
      );
      await this.clock.sleep(RESEND_INTERVAL_MILLISECONDS, acknowledged.signal);
    }
  }

  /** Stops resending a settlement that a keeper acknowledged. */
  settlementAcknowledged(requestId: string): void {
    this.unacknowledged.get(requestId)?.();
    this.unacknowledged.delete(requestId);
  }

  private findSession(incarnation: string | undefined) {
    return incarnation === undefined
      ? undefined
      : this.directory.sessionOf(incarnation);
  }

  /**
   * Sends a message to the holder that made the reservation; if it has no open
   * session, to its witness, which has a copy of every reservation and inherits
   * it; else to the current holder of the organisation. Returns false if none has
   * an open session.
   */
  private sendToHolder(
    reserved: ReservedRequest,
    message: RouterMessageInit,
  ): KeeperSession | undefined {
    const {holder, witness} = reserved.reservation;
    const session: KeeperSession | undefined =
      this.findSession(holder) ??
      this.findSession(witness) ??
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
    return sent ? session : undefined;
  }

  private abandonMessage(
    requestId: string,
    organisation: string,
    grantId: string,
    lostBegins: readonly number[],
  ): RouterMessageInit {
    const value = {
      requestId,
      organisation,
      grantId,
      lostBegins: [...lostBegins],
      throughBegin: this.lastBeginNumber,
    };
    return {kind: {case: 'abandon', value}};
  }

  /**
   * Records a begin whose reservation the holder has released, as if it had been
   * abandoned there. If the holder is lost, its witness may not have received
   * the release.
   */
  private recordNotRun(
    {requestId, organisation}: BeginFields,
    {reservationReleased}: BeginAnswer,
    session: KeeperSession,
    beginNumber: number,
  ): void {
    const keeper = session.keeper?.incarnation;
    if (reservationReleased && keeper !== undefined) {
      this.addDelivered({
        reserved: {requestId, organisation, reservation: NO_RESERVATION},
        message: this.abandonMessage(requestId, organisation, '', [
          beginNumber,
        ]),
        deliveredAt: this.clock.monotonicMilliseconds(),
        keeper,
      });
    }
  }

  private addDelivered(abandon: DeliveredAbandon): void {
    this.deliveredAbandons.push(abandon);
    if (this.deliveredAbandons.length > MAXIMUM_DELIVERED_ABANDONS) {
      this.deliveredAbandons.shift();
    }
  }

  /** Returns false if no keeper could be sent the message. */
  private deliverAbandon(
    reserved: ReservedRequest,
    message: RouterMessageInit,
  ): boolean {
    const session = this.sendToHolder(reserved, message);
    const keeper = session?.keeper?.incarnation;
    if (keeper === undefined) {
      return false;
    }
    const deliveredAt = this.clock.monotonicMilliseconds();
    this.addDelivered({reserved, message, deliveredAt, keeper});
    return true;
  }

  /**
   * Sends the abandons of lost keepers to others. A keeper remembers them, and
   * releases reservations that it finds on the log later.
   */
  private resendAbandons(): void {
    const oldest =
      this.clock.monotonicMilliseconds() -
      DELIVERED_ABANDON_RETENTION_MILLISECONDS;
    const kept = this.deliveredAbandons.filter(
      ({deliveredAt}) => deliveredAt >= oldest,
    );
    this.deliveredAbandons = kept;
    const open = new Set(
      this.directory.openSessions().map(({keeper}) => keeper?.incarnation),
    );
    if (open.size === 0) {
      return;
    }
    this.deliveredAbandons = kept.filter(({keeper}) => open.has(keeper));
    for (const abandon of kept) {
      const {keeper, reserved, message} = abandon;
      if (!open.has(keeper) && !this.deliverAbandon(reserved, message)) {
        this.addDelivered(abandon);
      }
    }
  }
}

/** Returns a request that is settled at the organisation's current holder. */
function withoutKeepers(reserved: ReservedRequest): ReservedRequest {
  return {
    ...reserved,
    reservation: {...reserved.reservation, holder: '', witness: ''},
  };
}

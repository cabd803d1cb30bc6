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

function abandonMessage(
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

/** A request with its reservation, which names the keepers to notify. */
export interface ReservedRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly reservation: Reservation;
}

/** Sends requests and their bills to the keeper that holds an organisation. */
export class HolderClient {
  private readonly unacknowledged = new Map<string, () => void>();
  private lastBeginNumber = 0;

  constructor(
    private readonly directory: KeeperDirectory,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Number of settlements not yet acknowledged by a keeper. */
  get openSettlements(): number {
    return this.unacknowledged.size;
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
        session.send(abandonMessage(requestId, organisation, '', lostBegins));
      }
      const beginNumber = ++this.lastBeginNumber;
      try {
        const answer = await session.begin({...fields, beginNumber});
        if (answer.verdict !== BeginVerdict.NOT_HOLDER) {
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
    const message = abandonMessage(
      requestId,
      organisation,
      reservation.grantId,
      lostBegins,
    );
    for (let tries = 0; tries < MAXIMUM_ABANDON_SENDS; tries++) {
      if (this.sendToHolder(reserved, message)) {
        return;
      }
      await this.clock.sleep(RESEND_INTERVAL_MILLISECONDS);
    }
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
    const reservation = {grantId: '', holder: '', witness: '', beginSentAt: 0};
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
    while (!acknowledged.signal.aborted) {
      this.sendToHolder(reserved, {
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
  ): boolean {
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
    return sent;
  }
}

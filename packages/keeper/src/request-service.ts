import {create} from '@bufbuild/protobuf';
import type {WitnessBook} from '@wisteriadeal/ledger';
import {
  BeginVerdict,
  Outcome,
  RequestReservationSchema,
  type AbandonRequest,
  type BeginAnswer,
  type BeginRequest,
  type Dispatching,
} from '@wisteriadeal/schema';

import type {AbandonedBegins} from './abandoned-begins.js';
import {beginAnswer} from './begin-answers.js';
import type {BookReplicator} from './book-replicator.js';
import {ClaimOutcome, type ClaimService} from './claim-service.js';
import type {GrantHolding} from './grant-holding.js';
import type {GrantManager} from './grant-manager.js';
import type {InheritedRequests} from './inherited-requests.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {MembershipTable} from './membership-table.js';
import {ReserveOutcome} from './organisation-grants.js';
import {
  RequestPhase,
  type RequestRegistry,
  type TrackedRequest,
} from './request-registry.js';

/** Maximum time that a request waits for tokens or for a witness. */
const RESERVE_TIMEOUT_MILLISECONDS = 2_000;
/**
 * Maximum time that a request waits for a grant that is being reclaimed. With
 * the default settings, a lost holder's grant is reclaimed within about this
 * time.
 */
const RECLAIM_TIMEOUT_MILLISECONDS = 5_000;
/**
 * Delay after which a router may retry a request that was answered
 * `UNAVAILABLE`.
 */
const UNAVAILABLE_RETRY_DELAY_MILLISECONDS = 1_000;

/**
 * Registers requests and reserves their bounds; releases abandoned requests.
 */
export class RequestService {
  constructor(
    private readonly membership: MembershipTable,
    private readonly replicas: LedgerReplicas,
    private readonly replicator: BookReplicator,
    private readonly grantManager: GrantManager,
    private readonly claims: ClaimService,
    private readonly registry: RequestRegistry,
    private readonly witnessBook: WitnessBook,
    private readonly abandonedBegins: AbandonedBegins,
    private readonly inherited: InheritedRequests,
  ) {}

  /**
   * Registers a request and reserves its bound. A request that is already known
   * is joined, resumed or refused, depending on its phase.
   */
  async begin(begin: BeginRequest, router: string): Promise<BeginAnswer> {
    if (this.isAbandoned(begin, router)) {
      return abandonedAnswer(begin);
    }
    const known = this.registry.get(begin.requestId);
    if (known !== undefined) {
      return this.answerKnown(begin, known, router);
    }
    const holder = this.membership.holderOf(begin.organisation);
    if (holder !== this.membership.self.incarnation) {
      return beginAnswer(begin, BeginVerdict.NOT_HOLDER, {
        holder: holder ?? '',
      });
    }
    const ledger = this.replicas.ledgerOf(begin.organisation);
    if (ledger.isBilled(begin.organisation, begin.requestId)) {
      return beginAnswer(begin, BeginVerdict.ANSWER_GONE);
    }
    return this.beginNew(begin, router);
  }

  /** Records the endpoint to which the router is about to send the request. */
  dispatching(message: Dispatching): void {
    const request = this.registry.get(message.requestId);
    if (request === undefined || message.attempt === undefined) {
      return;
    }
    request.attempt = message.attempt;
    const holding = this.grantManager.holding(
      request.organisation,
      request.grantId,
    );
    const change = holding?.book.recordDispatch(
      request.requestId,
      message.attempt,
    );
    if (holding !== undefined && change !== undefined) {
      void this.replicator.commit(holding, change);
    }
  }

  /**
   * Releases a request that was never dispatched, here and in the books that
   * this keeper witnesses, for the case that the holder is lost. Its caller was
   * told that nothing ran, so it must not be billed.
   *
   * Messages of other routers and of earlier begins are ignored. After a "not
   * run" answer, a caller may retry before the abandon message arrives. That
   * message must not release the reservation of the running request, whose bill
   * would then have no reservation.
   */
  async abandon(message: AbandonRequest, router: string): Promise<void> {
    const {requestId} = message;
    this.abandonedBegins.add(message, router);
    this.witnessBook.releaseLostBegins(requestId, router, beginNumber =>
      this.abandonedBegins.has(requestId, router, beginNumber),
    );
    const request = this.registry.get(requestId);
    if (
      request?.router !== router ||
      request.phase === RequestPhase.Settled ||
      !this.isMeant(message, request)
    ) {
      return;
    }
    if (request.isResumed) {
      // The router before this one may have dispatched the request.
      request.router = '';
      this.registry.enterPhase(request, RequestPhase.Orphaned);
      return;
    }
    this.registry.remove(request);
    // While the request is reserving, its claim may not be decided yet and
    // another router may still win it.
    if (!request.idempotent && request.phase !== RequestPhase.Reserving) {
      this.registry.addUnusedClaim(message.requestId);
    }
    const holding = this.grantManager.holding(
      request.organisation,
      request.grantId,
    );
    const change = holding?.book.release(requestId);
    if (holding !== undefined && change !== undefined) {
      await this.replicator.commit(holding, change);
    }
  }

  /**
   * Whether an abandon message refers to the begin of a request. A message
   * without numbers comes from a router that does not number its begins.
   */
  private isMeant(message: AbandonRequest, request: TrackedRequest): boolean {
    const {requestId, router, beginNumber} = request;
    const hasNumbers =
      message.throughBegin > 0 || message.lostBegins.length > 0;
    return (
      !hasNumbers || this.abandonedBegins.has(requestId, router, beginNumber)
    );
  }

  private isAbandoned(begin: BeginRequest, router: string): boolean {
    return this.abandonedBegins.has(begin.requestId, router, begin.beginNumber);
  }

  private async answerKnown(
    begin: BeginRequest,
    known: TrackedRequest,
    router: string,
  ): Promise<BeginAnswer> {
    if (known.fingerprint !== begin.fingerprint) {
      return beginAnswer(begin, BeginVerdict.CONFLICT);
    }
    if (known.phase === RequestPhase.Settled) {
      return this.answerSettled(begin, known);
    }
    if (known.phase !== RequestPhase.Orphaned) {
      return this.join(begin, known.router);
    }
    return known.idempotent
      ? this.resume(begin, known, router)
      : beginAnswer(begin, BeginVerdict.OUTCOME_UNKNOWN);
  }

  private answerSettled(
    begin: BeginRequest,
    known: TrackedRequest,
  ): BeginAnswer {
    if (known.bill?.outcome === Outcome.UNKNOWN && !known.idempotent) {
      return beginAnswer(begin, BeginVerdict.OUTCOME_UNKNOWN);
    }
    return this.membership.liveRouter(known.router) === undefined
      ? beginAnswer(begin, BeginVerdict.ANSWER_GONE)
      : this.join(begin, known.router);
  }

  private join(begin: BeginRequest, router: string): BeginAnswer {
    const identity = this.membership.liveRouter(router);
    return identity === undefined
      ? beginAnswer(begin, BeginVerdict.UNAVAILABLE, {
          reason: 'its router is being looked for',
          retryAfterMilliseconds: UNAVAILABLE_RETRY_DELAY_MILLISECONDS,
        })
      : beginAnswer(begin, BeginVerdict.JOIN, {router: identity});
  }

  private async resume(
    begin: BeginRequest,
    known: TrackedRequest,
    router: string,
  ): Promise<BeginAnswer> {
    if (!(await this.inherited.takeOver(known, router))) {
      return beginAnswer(begin, BeginVerdict.UNAVAILABLE, {
        reason: 'the log could not record the router that resumes it',
        retryAfterMilliseconds: UNAVAILABLE_RETRY_DELAY_MILLISECONDS,
      });
    }
    if (known.phase !== RequestPhase.Orphaned) {
      // Another router has resumed it, or it was settled, meanwhile.
      return this.answerKnown(begin, known, router);
    }
    known.router = router;
    known.beginNumber = begin.beginNumber;
    known.isResumed = true;
    this.registry.enterPhase(known, RequestPhase.Running);
    const holding = this.grantManager.holding(
      known.organisation,
      known.grantId,
    );
    const change = holding?.book.reassignRouter(known.requestId, router);
    if (holding !== undefined && change !== undefined) {
      void this.replicator.commit(holding, change);
    }
    return beginAnswer(begin, BeginVerdict.RESUME, {
      grantId: known.grantId,
      holder: this.membership.self.incarnation,
      witness: holding?.witness ?? '',
      resume: known.attempt,
    });
  }

  private async beginNew(
    begin: BeginRequest,
    router: string,
  ): Promise<BeginAnswer> {
    const request = this.registry.add({
      requestId: begin.requestId,
      organisation: begin.organisation,
      fingerprint: begin.fingerprint,
      idempotent: begin.idempotent,
      boundTokens: begin.boundTokens,
      caller: begin.caller,
      beginNumber: begin.beginNumber,
      isResumed: false,
      attempt: {
        $typeName: 'wisteriadeal.v1.AttemptReference',
        attemptId: begin.attemptId,
        endpoint: begin.endpoint,
      },
      router,
      phase: RequestPhase.Reserving,
      grantId: '',
    });
    const answer =
      (await this.claimOrRefuse(begin, router)) ??
      (await this.reserve(begin, request));
    if (answer.verdict !== BeginVerdict.RESERVED) {
      this.registry.remove(request);
    }
    if (answer.reservationReleased) {
      // A witness that took this keeper for lost may have listed the reservation
      // in its reclaim.
      this.abandonedBegins.addBegin(begin, router);
    }
    return answer;
  }

  private async claimOrRefuse(
    begin: BeginRequest,
    router: string,
  ): Promise<BeginAnswer | undefined> {
    if (begin.idempotent || begin.mintedHere) {
      return undefined;
    }
    const outcome = await this.claims.claim(begin, router);
    if (outcome === ClaimOutcome.Undecided) {
      return beginAnswer(begin, BeginVerdict.UNAVAILABLE, {
        reason: 'the log could not settle who runs it; it was not dispatched',
        retryAfterMilliseconds: UNAVAILABLE_RETRY_DELAY_MILLISECONDS,
      });
    }
    return outcome === ClaimOutcome.Won
      ? undefined
      : this.answerLostClaim(begin);
  }

  private answerLostClaim(begin: BeginRequest): BeginAnswer {
    const winner = this.claims.claimOf(begin.organisation, begin.requestId);
    if (winner !== undefined && winner.fingerprint !== begin.fingerprint) {
      return beginAnswer(begin, BeginVerdict.CONFLICT);
    }
    const router =
      winner === undefined
        ? undefined
        : this.membership.liveRouter(winner.claimant);
    return router === undefined
      ? beginAnswer(begin, BeginVerdict.OUTCOME_UNKNOWN)
      : beginAnswer(begin, BeginVerdict.JOIN, {router});
  }

  /**
   * Whether a witness is expected to reclaim a grant that covers the bound from
   * an unreachable holder. After a host was killed, most of a budget can be in
   * such a grant for some seconds, and a request must not be refused as if that
   * budget were spent.
   */
  private isReclaimExpected({
    organisation,
    boundTokens,
  }: BeginRequest): boolean {
    return this.replicas
      .ledgerOf(organisation)
      .grants(organisation)
      .some(
        grant =>
          !grant.closed &&
          grant.witness !== '' &&
          !this.membership.isReachable(grant.holder) &&
          grant.tokens - grant.billedTokens >= boundTokens,
      );
  }

  private async reserve(
    begin: BeginRequest,
    request: TrackedRequest,
  ): Promise<BeginAnswer> {
    const grants = this.grantManager.forOrganisation(begin.organisation);
    const reservation = create(RequestReservationSchema, {
      reservation: {
        requestId: begin.requestId,
        boundTokens: begin.boundTokens,
        attemptId: begin.attemptId,
        endpoint: begin.endpoint,
        caller: begin.caller,
      },
      router: request.router,
      fingerprint: begin.fingerprint,
      idempotent: begin.idempotent,
      beginNumber: begin.beginNumber,
    });
    let answer = await grants.reserve(
      reservation,
      RESERVE_TIMEOUT_MILLISECONDS,
    );
    if (
      answer.outcome === ReserveOutcome.BudgetExhausted &&
      this.isReclaimExpected(begin)
    ) {
      const {hasReleased} = answer;
      answer = await grants.reserve(reservation, RECLAIM_TIMEOUT_MILLISECONDS);
      answer = {...answer, hasReleased: answer.hasReleased || hasReleased};
    }
    const {outcome, holding} = answer;
    const reservationReleased = answer.hasReleased;
    const isReserved = outcome === ReserveOutcome.Reserved;
    if (isReserved && holding !== undefined) {
      if (!this.registry.isTracked(request)) {
        return this.releaseAbandoned(begin, holding);
      }
      request.grantId = holding.grantId;
      this.registry.enterPhase(request, RequestPhase.Running);
      return beginAnswer(begin, BeginVerdict.RESERVED, {
        grantId: holding.grantId,
        holder: this.membership.self.incarnation,
        witness: holding.witness,
      });
    }
    this.recordUnusedClaim(begin);
    return outcome === ReserveOutcome.BudgetExhausted
      ? beginAnswer(begin, BeginVerdict.BUDGET, {
          availableTokens: grants.spendableTokens,
          reservationReleased,
        })
      : beginAnswer(begin, BeginVerdict.UNAVAILABLE, {
          reason: 'no witness and no log took note of it',
          retryAfterMilliseconds: UNAVAILABLE_RETRY_DELAY_MILLISECONDS,
          reservationReleased,
        });
  }

  /** Releases a reservation whose begin was abandoned while it was made. */
  private releaseAbandoned(
    begin: BeginRequest,
    holding: GrantHolding,
  ): BeginAnswer {
    this.recordUnusedClaim(begin);
    const released = holding.book.release(begin.requestId);
    if (released !== undefined) {
      void this.replicator.commit(holding, released);
    }
    return abandonedAnswer(begin);
  }

  private recordUnusedClaim(begin: BeginRequest): void {
    if (!begin.idempotent && !begin.mintedHere) {
      this.registry.addUnusedClaim(begin.requestId);
    }
  }
}

function abandonedAnswer(begin: BeginRequest): BeginAnswer {
  return beginAnswer(begin, BeginVerdict.UNAVAILABLE, {
    reason: 'its router has abandoned this begin',
    retryAfterMilliseconds: UNAVAILABLE_RETRY_DELAY_MILLISECONDS,
    reservationReleased: true,
  });
}

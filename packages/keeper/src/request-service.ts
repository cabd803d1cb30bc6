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

import {beginAnswer} from './begin-answers.js';
import type {BookReplicator} from './book-replicator.js';
import {ClaimOutcome, type ClaimService} from './claim-service.js';
import type {GrantManager} from './grant-manager.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {MembershipTable} from './membership-table.js';
import {ReserveOutcome} from './organisation-grants.js';
import {
  RequestPhase,
  type RequestRegistry,
  type TrackedRequest,
} from './request-registry.js';

/** A request waits at most this long for tokens or a witness. */
const RESERVE_LIMIT_MILLISECONDS = 2_000;
/** A lost holder's grant is back within about this time by default settings. */
const RECLAIM_LIMIT_MILLISECONDS = 5_000;
/** When a refusal for lack of a witness may have changed. */
const UNAVAILABLE_RETRY_MILLISECONDS = 1_000;

/** Begins and abandons requests. */
export class RequestService {
  constructor(
    private readonly membership: MembershipTable,
    private readonly replicas: LedgerReplicas,
    private readonly replicator: BookReplicator,
    private readonly grants: GrantManager,
    private readonly claims: ClaimService,
    private readonly registry: RequestRegistry,
    private readonly witnessBook: WitnessBook,
  ) {}

  /** Registers a request and reserves its bound. */
  async begin(begin: BeginRequest, router: string): Promise<BeginAnswer> {
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

  /** The router is about to send the request to an endpoint. */
  dispatching(message: Dispatching): void {
    const request = this.registry.get(message.requestId);
    if (request === undefined || message.attempt === undefined) {
      return;
    }
    request.attempt = message.attempt;
    const holding = this.grants.holding(request.organisation, request.grantId);
    const change = holding?.book.dispatching(
      request.requestId,
      message.attempt,
    );
    if (holding !== undefined && change !== undefined) {
      void this.replicator.commit(holding, change);
    }
  }

  /**
   * Forgets, as the witness of a holder that may be lost, what it reserved for begins
   * without an answer: their callers are told that nothing ran, and are billed nothing.
   */
  forgetLostBegins(message: AbandonRequest, router: string): void {
    const {requestId, lostBegins} = message;
    this.witnessBook.releaseLostBegins(requestId, router, lostBegins);
  }

  /**
   * Releases a request that was never dispatched.
   *
   * Load: a caller that was told "not run" tries another router, and the abandon of the
   * first one comes late. Harm without a look at the router: the reservation of what
   * runs is gone, and its bill finds none.
   */
  async abandon(message: AbandonRequest, router: string): Promise<void> {
    const request = this.registry.get(message.requestId);
    if (request?.router !== router || request.phase === RequestPhase.Settled) {
      return;
    }
    this.registry.remove(message.requestId);
    // While its claim is on the way to the log, another may still win it.
    if (!request.idempotent && request.phase !== RequestPhase.Reserving) {
      this.registry.noteUnusedClaim(message.requestId);
    }
    const holding = this.grants.holding(request.organisation, request.grantId);
    const change = holding?.book.release(message.requestId);
    if (holding !== undefined && change !== undefined) {
      await this.replicator.commit(holding, change);
    }
  }

  private answerKnown(
    begin: BeginRequest,
    known: TrackedRequest,
    router: string,
  ): BeginAnswer {
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
    return this.membership.router(known.router) === undefined
      ? beginAnswer(begin, BeginVerdict.ANSWER_GONE)
      : this.join(begin, known.router);
  }

  private join(begin: BeginRequest, router: string): BeginAnswer {
    const identity = this.membership.router(router);
    return identity === undefined
      ? beginAnswer(begin, BeginVerdict.UNAVAILABLE, {
          reason: 'its router is being looked for',
          retryAfterMilliseconds: UNAVAILABLE_RETRY_MILLISECONDS,
        })
      : beginAnswer(begin, BeginVerdict.JOIN, {router: identity});
  }

  private resume(
    begin: BeginRequest,
    known: TrackedRequest,
    router: string,
  ): BeginAnswer {
    known.router = router;
    this.registry.enter(known, RequestPhase.Running);
    const holding = this.grants.holding(known.organisation, known.grantId);
    const change = holding?.book.reassign(known.requestId, router);
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
      (await this.refuseUnclaimed(begin, router)) ??
      (await this.reserve(begin, request));
    if (answer.verdict !== BeginVerdict.RESERVED) {
      this.registry.remove(begin.requestId);
    }
    return answer;
  }

  private async refuseUnclaimed(
    begin: BeginRequest,
    router: string,
  ): Promise<BeginAnswer | undefined> {
    if (begin.idempotent || begin.mintedHere) {
      return undefined;
    }
    const outcome = await this.claims.claim(begin, router);
    if (outcome === ClaimOutcome.Unsettled) {
      return beginAnswer(begin, BeginVerdict.UNAVAILABLE, {
        reason: 'the log could not settle who runs it; it was not dispatched',
        retryAfterMilliseconds: UNAVAILABLE_RETRY_MILLISECONDS,
      });
    }
    return outcome === ClaimOutcome.Won ? undefined : this.answerLost(begin);
  }

  private answerLost(begin: BeginRequest): BeginAnswer {
    const winner = this.claims.claimOf(begin.organisation, begin.requestId);
    if (winner !== undefined && winner.fingerprint !== begin.fingerprint) {
      return beginAnswer(begin, BeginVerdict.CONFLICT);
    }
    const router =
      winner === undefined
        ? undefined
        : this.membership.router(winner.claimant);
    return router === undefined
      ? beginAnswer(begin, BeginVerdict.OUTCOME_UNKNOWN)
      : beginAnswer(begin, BeginVerdict.JOIN, {router});
  }

  /**
   * Load: a host was killed and its grant is being taken back. Harm: telling a
   * caller that its budget is spent while most of it is seconds away.
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
    const grants = this.grants.of(begin.organisation);
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
    let answer = await grants.reserve(reservation, RESERVE_LIMIT_MILLISECONDS);
    if (
      answer.outcome === ReserveOutcome.Budget &&
      this.isReclaimExpected(begin)
    ) {
      answer = await grants.reserve(reservation, RECLAIM_LIMIT_MILLISECONDS);
    }
    const {outcome, holding} = answer;
    if (outcome === ReserveOutcome.Reserved && holding !== undefined) {
      request.grantId = holding.grantId;
      this.registry.enter(request, RequestPhase.Running);
      return beginAnswer(begin, BeginVerdict.RESERVED, {
        grantId: holding.grantId,
        holder: this.membership.self.incarnation,
        witness: holding.witness,
      });
    }
    if (!begin.idempotent && !begin.mintedHere) {
      this.registry.noteUnusedClaim(begin.requestId);
    }
    return outcome === ReserveOutcome.Budget
      ? beginAnswer(begin, BeginVerdict.BUDGET, {
          availableTokens: grants.spendableTokens,
        })
      : beginAnswer(begin, BeginVerdict.UNAVAILABLE, {
          reason: 'no witness and no log took note of it',
          retryAfterMilliseconds: UNAVAILABLE_RETRY_MILLISECONDS,
        });
  }
}

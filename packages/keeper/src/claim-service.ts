import {VerdictKind} from '@wisteriadeal/ledger';
import type {Clock} from '@wisteriadeal/platform';
import type {BeginRequest, ClaimState} from '@wisteriadeal/schema';

import type {LedgerAppender} from './ledger-appender.js';
import {ledgerEntry} from './ledger-entries.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {PlatformHealth} from './platform-health.js';
import type {RequestRegistry} from './request-registry.js';

/** Maximum time that a caller waits for the log to decide its claim. */
const CLAIM_TIMEOUT_MILLISECONDS = 3_000;

/** The result of a claim. */
export enum ClaimOutcome {
  Won = 'won',
  Lost = 'lost',
  /**
   * The log did not decide the claim in time; the request was not dispatched.
   */
  Undecided = 'undecided',
}

/**
 * Decides which router may run a non-idempotent request with an idempotency key
 * that the caller chose.
 *
 * The same key can arrive in two data centres at once. The holder in each of
 * them appends a claim to the log before the request is dispatched, and the
 * first claim in log order wins. If the answer to an append is lost, its result
 * is found by reading the log.
 */
export class ClaimService {
  constructor(
    private readonly appender: LedgerAppender,
    private readonly replicas: LedgerReplicas,
    private readonly health: PlatformHealth,
    private readonly registry: RequestRegistry,
    private readonly clock: Clock,
  ) {}

  /** Returns the claim in force for a request. */
  claimOf(organisation: string, requestId: string): ClaimState | undefined {
    return this.replicas.ledgerOf(organisation).claim(organisation, requestId);
  }

  /** Claims a request for a router. */
  async claim(begin: BeginRequest, router: string): Promise<ClaimOutcome> {
    const {organisation, requestId} = begin;
    if (this.registry.consumeUnusedClaim(requestId)) {
      return ClaimOutcome.Won;
    }
    const existing = this.claimOf(organisation, requestId);
    if (existing !== undefined) {
      return this.canReuseClaim(existing, begin, router)
        ? ClaimOutcome.Won
        : ClaimOutcome.Lost;
    }
    if (!this.health.isReachable(this.replicas.streamOf(organisation))) {
      return ClaimOutcome.Undecided;
    }
    return this.appendClaim(begin, router);
  }

  /**
   * Whether a router may use a claim that it already has on the log. This
   * happens if a holder dies after the claim was won and before its router was
   * told. Only that router may run the request, and only it can tell that it
   * has not, so its `claimUnused` flag is sufficient.
   */
  private canReuseClaim(
    existing: ClaimState,
    begin: BeginRequest,
    router: string,
  ): boolean {
    return (
      existing.claimant === router &&
      existing.fingerprint === begin.fingerprint &&
      begin.claimUnused
    );
  }

  private async appendClaim(
    begin: BeginRequest,
    router: string,
  ): Promise<ClaimOutcome> {
    const {organisation, requestId, fingerprint, attemptId} = begin;
    let waiting = true;
    const decided = this.appender
      .submit(
        ledgerEntry(`claim:${requestId}:${attemptId}`, organisation, {
          case: 'claim',
          value: {requestId, fingerprint, claimant: router, attemptId},
        }),
      )
      .then(({verdict}) => {
        const won = verdict.kind !== VerdictKind.Refused;
        if (won && !waiting) {
          // The claim was won after the timeout. The request was refused and
          // never ran, so a retry may still use the claim.
          this.registry.addUnusedClaim(requestId);
        }
        return won ? ClaimOutcome.Won : ClaimOutcome.Lost;
      });
    const timeoutController = new AbortController();
    const timeout = this.clock
      .sleep(CLAIM_TIMEOUT_MILLISECONDS, timeoutController.signal)
      .then(() => ClaimOutcome.Undecided);
    const outcome = await Promise.race([decided, timeout]);
    waiting = false;
    timeoutController.abort();
    return outcome;
  }
}

import {VerdictKind} from '@wisteriadeal/ledger';
import type {Clock} from '@wisteriadeal/platform';
import type {BeginRequest, ClaimState} from '@wisteriadeal/schema';

import type {LedgerAppender} from './ledger-appender.js';
import {ledgerEntry} from './ledger-entries.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {PlatformHealth} from './platform-health.js';
import type {RequestRegistry} from './request-registry.js';

/** A caller waits at most this long for the log to settle a claim. */
const CLAIM_LIMIT_MILLISECONDS = 3_000;

/** How a claim ended. */
export enum ClaimOutcome {
  Won = 'won',
  Lost = 'lost',
  /** The log can't be reached in time; the request was not dispatched. */
  Unsettled = 'unsettled',
}

/**
 * Settles who may run a non-idempotent request with a caller's own key.
 *
 * The failure it meets: the same key arrives in two data centres. Both append a
 * claim before anything is dispatched; the first in log order wins, and a lost
 * answer of the append is resolved by reading on.
 */
export class ClaimService {
  constructor(
    private readonly appender: LedgerAppender,
    private readonly replicas: LedgerReplicas,
    private readonly health: PlatformHealth,
    private readonly registry: RequestRegistry,
    private readonly clock: Clock,
  ) {}

  /** The claim in force of a request. */
  claimOf(organisation: string, requestId: string): ClaimState | undefined {
    return this.replicas.ledgerOf(organisation).claim(organisation, requestId);
  }

  /** Claims a request for a router. */
  async claim(begin: BeginRequest, router: string): Promise<ClaimOutcome> {
    const {organisation, requestId} = begin;
    if (this.registry.takeUnusedClaim(requestId)) {
      return ClaimOutcome.Won;
    }
    const existing = this.claimOf(organisation, requestId);
    if (existing !== undefined) {
      return this.goesOn(existing, begin, router)
        ? ClaimOutcome.Won
        : ClaimOutcome.Lost;
    }
    if (!this.health.isReachable(this.replicas.streamOf(organisation))) {
      return ClaimOutcome.Unsettled;
    }
    return this.settle(begin, router);
  }

  /**
   * A holder died after the claim was won and before its router heard of it: the
   * claim names a router that waits for nothing. Only that router may run the
   * request, and it alone knows that it never did, so its word is enough.
   */
  private goesOn(
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

  private async settle(
    begin: BeginRequest,
    router: string,
  ): Promise<ClaimOutcome> {
    const {organisation, requestId, fingerprint, attemptId} = begin;
    let waiting = true;
    const settled = this.appender
      .submit(
        ledgerEntry(`claim:${requestId}:${attemptId}`, organisation, {
          case: 'claim',
          value: {requestId, fingerprint, claimant: router, attemptId},
        }),
      )
      .then(({verdict}) => {
        const won = verdict.kind !== VerdictKind.Refused;
        if (won && !waiting) {
          // Won after the caller was refused: it never ran, and may still.
          this.registry.noteUnusedClaim(requestId);
        }
        return won ? ClaimOutcome.Won : ClaimOutcome.Lost;
      });
    const ended = new AbortController();
    const limit = this.clock
      .sleep(CLAIM_LIMIT_MILLISECONDS, ended.signal)
      .then(() => ClaimOutcome.Unsettled);
    const first = await Promise.race([settled, limit]);
    waiting = false;
    ended.abort();
    return first;
  }
}

import {ledgerStreamOf} from '@wisteriadeal/ledger';
import type {Clock, LogClient} from '@wisteriadeal/platform';

import {
  appendUntilDecided,
  DEFAULT_PATIENCE,
  type AppendPatience,
} from './confirmed-append.js';
import {ledgerReader} from './fold-sources.js';
import {operatorRecord} from './ledger-payload.js';

/** An operator's word that nobody holds a grant any more. */
export interface StrandedReleaseRequest {
  readonly organisation: string;
  readonly grantId: string;
  readonly operator: string;
  readonly reason: string;
  /** Number of ledger streams of the fleet. */
  readonly ledgerStreams: number;
  readonly patience?: AppendPatience;
}

/** What became of a release. */
export enum StrandedReleaseOutcome {
  Released = 'released',
  /** It was closed before: nothing was released now. */
  AlreadyClosed = 'already-closed',
  /** The ledger knows no such grant of that organisation. */
  UnknownGrant = 'unknown-grant',
}

/** A release with the organisation's unallocated budget after it. */
export interface StrandedReleaseResult {
  readonly outcome: StrandedReleaseOutcome;
  readonly unallocatedTokens: number;
}

/**
 * Gives back what is left of a grant whose holder and witness are destroyed.
 *
 * Nothing but an operator can know that: a holder that is cut off or paused may
 * still spend, and what it spends after the release is not billed. So no process
 * ever writes this entry by itself.
 *
 * @throws StepError with fate Unknown where the record may stand on the log;
 *     it is safe to repeat.
 * @example
 * ```ts
 * await releaseStrandedGrant(log, clock, {
 *   organisation: 'kigali-bar-school', grantId, operator: 'aline',
 *   reason: 'rack 4 burnt', ledgerStreams: 8,
 * });
 * ```
 */
export async function releaseStrandedGrant(
  log: LogClient,
  clock: Clock,
  request: StrandedReleaseRequest,
): Promise<StrandedReleaseResult> {
  const {organisation, grantId, operator, reason} = request;
  const stream = ledgerStreamOf(organisation, request.ledgerStreams);
  const reader = ledgerReader(log, stream);
  const resultWith = (outcome: StrandedReleaseOutcome) => ({
    outcome,
    unallocatedTokens: reader.fold.totals(organisation).unallocatedTokens,
  });
  const grant = (await reader.readToEnd()).grant(organisation, grantId);
  if (grant === undefined) {
    return resultWith(StrandedReleaseOutcome.UnknownGrant);
  }
  if (grant.closed) {
    return resultWith(StrandedReleaseOutcome.AlreadyClosed);
  }
  const entryId = `stranded-release:${grantId}`;
  await appendUntilDecided({
    log,
    clock,
    reader,
    payload: operatorRecord(operator, {
      entryId,
      organisation,
      kind: {case: 'strandedRelease', value: {grantId, operator, reason}},
    }),
    patience: request.patience ?? DEFAULT_PATIENCE,
    isDecided: fold => fold.hasSeen(organisation, entryId),
  });
  return resultWith(StrandedReleaseOutcome.Released);
}

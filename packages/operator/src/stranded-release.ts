import {ledgerStreamOf} from '@wisteriadeal/ledger';
import type {Clock, LogClient} from '@wisteriadeal/platform';

import {
  appendUntilDecided,
  DEFAULT_PATIENCE,
  type AppendPatience,
} from './confirmed-append.js';
import {ledgerReader} from './fold-sources.js';
import {operatorRecord} from './ledger-payload.js';

/**
 * An operator's statement that a grant's holder and witness no longer exist.
 */
export interface StrandedReleaseRequest {
  readonly organisation: string;
  readonly grantId: string;
  readonly operator: string;
  /** Why the grant is known to be lost; stored with the entry. */
  readonly reason: string;
  /** Number of ledger streams of the fleet. */
  readonly ledgerStreams: number;
  readonly patience?: AppendPatience;
}

/** The result of a release. */
export enum StrandedReleaseOutcome {
  Released = 'released',
  /** The grant was already closed; nothing was released. */
  AlreadyClosed = 'already-closed',
  /** The ledger has no such grant of that organisation. */
  UnknownGrant = 'unknown-grant',
}

/** The outcome and the organisation's unallocated budget after it. */
export interface StrandedReleaseResult {
  readonly outcome: StrandedReleaseOutcome;
  readonly unallocatedTokens: number;
}

/**
 * Returns the remaining tokens of a grant whose holder and witness are
 * destroyed to the organisation's budget.
 *
 * Only an operator can know that they are destroyed: a holder that is
 * partitioned or paused may still spend from the grant, and what it spends
 * after the release is not billed. No process therefore writes this entry
 * automatically.
 *
 * @throws StepError if the log can't be read or appended to, with fate Unknown
 *     if the record may be stored in the log; it is safe to repeat.
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

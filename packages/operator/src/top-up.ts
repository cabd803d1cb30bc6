import {ledgerStreamOf, type LedgerFold} from '@wisteriadeal/ledger';
import type {Clock, LogClient} from '@wisteriadeal/platform';

import {
  appendUntilDecided,
  DEFAULT_PATIENCE,
  type AppendPatience,
} from './confirmed-append.js';
import {ledgerReader} from './fold-sources.js';
import {operatorRecord} from './ledger-payload.js';

/** A top-up of one organisation's budget. */
export interface TopUpRequest {
  readonly organisation: string;
  readonly tokens: number;
  /** A second top-up with the same identifier does nothing. */
  readonly entryId: string;
  readonly operator: string;
  readonly reason: string;
  /** Number of ledger streams of the fleet. */
  readonly ledgerStreams: number;
  readonly patience?: AppendPatience;
}

/** What became of a top-up. */
export enum TopUpOutcome {
  Credited = 'credited',
  /** The identifier stood on the log before: nothing was added now. */
  AlreadyCredited = 'already-credited',
}

/** A top-up with the organisation's totals after it. */
export interface TopUpResult {
  readonly outcome: TopUpOutcome;
  readonly entryId: string;
  readonly creditedTokens: number;
  readonly unallocatedTokens: number;
}

/**
 * Adds to a budget, once for each identifier. After a lost answer, repeat it
 * with the same identifier.
 *
 * @throws StepError with fate Unknown where the record may stand on the log.
 * @throws RangeError where the amount is no whole number of tokens above 0.
 * @example
 * ```ts
 * await topUp(log, clock, {
 *   organisation: 'kigali-bar-school', tokens: 500_000, entryId: 'invoice-2041',
 *   operator: 'aline', reason: 'invoice 2041', ledgerStreams: 8,
 * });
 * ```
 */
export async function topUp(
  log: LogClient,
  clock: Clock,
  request: TopUpRequest,
): Promise<TopUpResult> {
  if (!Number.isSafeInteger(request.tokens) || request.tokens <= 0) {
    throw new RangeError('expected a whole number of tokens above 0');
  }
  const {organisation, entryId, tokens, operator, reason} = request;
  const stream = ledgerStreamOf(organisation, request.ledgerStreams);
  const reader = ledgerReader(log, stream);
  const isDecided = (fold: LedgerFold) => fold.hasSeen(organisation, entryId);
  const initialFold = await reader.readToEnd();
  const wasCreditedBefore = isDecided(initialFold);
  await appendUntilDecided({
    log,
    clock,
    reader,
    payload: operatorRecord(operator, {
      entryId,
      organisation,
      kind: {case: 'topUp', value: {tokens, operator, reason}},
    }),
    patience: request.patience ?? DEFAULT_PATIENCE,
    isDecided,
  });
  const {creditedTokens, unallocatedTokens} = reader.fold.totals(organisation);
  return {
    outcome: wasCreditedBefore
      ? TopUpOutcome.AlreadyCredited
      : TopUpOutcome.Credited,
    entryId,
    creditedTokens,
    unallocatedTokens,
  };
}

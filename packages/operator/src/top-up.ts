import {ledgerStreamOf, type LedgerFold} from '@wisteriadeal/ledger';
import type {Clock, LogClient} from '@wisteriadeal/platform';

import {
  appendUntilDecided,
  DEFAULT_PATIENCE,
  type AppendPatience,
} from './confirmed-append.js';
import {ledgerReader} from './fold-sources.js';
import {operatorRecord} from './ledger-payload.js';

/** A top-up of an organisation's budget. */
export interface TopUpRequest {
  readonly organisation: string;
  readonly tokens: number;
  /**
   * Identifies the top-up; a second one with the same identifier has no effect.
   */
  readonly entryId: string;
  readonly operator: string;
  readonly reason: string;
  /** Number of ledger streams of the fleet. */
  readonly ledgerStreams: number;
  readonly patience?: AppendPatience;
}

/** The result of a top-up. */
export enum TopUpOutcome {
  Credited = 'credited',
  /** The log already had an entry with this identifier; nothing was added. */
  AlreadyCredited = 'already-credited',
}

/** The outcome and the organisation's totals after it. */
export interface TopUpResult {
  readonly outcome: TopUpOutcome;
  readonly entryId: string;
  readonly creditedTokens: number;
  readonly unallocatedTokens: number;
}

/**
 * Adds tokens to a budget, once per identifier. If the response was lost,
 * repeat the call with the same identifier.
 *
 * @throws StepError if the log can't be read or appended to; with fate Unknown
 *     if the record may be stored in the log.
 * @throws RangeError if `tokens` is not a safe integer above 0.
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
    throw new RangeError(
      'tokens: expected a whole number above 0 and below 2^53',
    );
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

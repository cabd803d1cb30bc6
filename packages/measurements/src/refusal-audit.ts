import {ResultKind} from './caller-result.js';
import type {LedgerAudit} from './ledger-audit.js';
import type {RequestRecord} from './request-record.js';

const BUDGET_PROBLEM = 'budget-exhausted';

/** A request that was refused although budget remained. */
export interface FalseRefusal {
  readonly record: RequestRecord;
  /** What was neither used nor in progress when it was refused. */
  readonly leftTokens: number;
}

/**
 * Tokens that an organisation's other requests had used when a request was
 * refused. What was in progress at any time of the refused exchange counts with
 * its whole bound, as it must be reserved: so the refusals found are certain.
 */
function usedAt(
  refused: RequestRecord,
  others: readonly RequestRecord[],
  ledger: LedgerAudit,
): number {
  const from = refused.final?.startedAtMilliseconds ?? 0;
  const until = refused.endedAtMilliseconds;
  return others.reduce((used, other) => {
    const bill = ledger.bills.get(other.requestId);
    if (bill === undefined || other.startedAtMilliseconds > until) {
      return used;
    }
    const ended = other.endedAtMilliseconds <= from;
    return used + (ended ? bill.tokens : other.boundTokens);
  }, 0);
}

/** A top-up made during a run. */
export interface RunTopUp {
  readonly organisation: string;
  readonly tokens: number;
  /** When it stood on the log, on the runner's monotonic clock. */
  readonly atMilliseconds: number;
}

/** Tokens credited after a request was refused. */
function creditedLater(
  refused: RequestRecord,
  topUps: readonly RunTopUp[],
): number {
  const {organisation} = refused.request.from;
  const from = refused.final?.startedAtMilliseconds ?? 0;
  return topUps
    .filter(
      topUp =>
        topUp.organisation === organisation && topUp.atMilliseconds > from,
    )
    .reduce((sum, topUp) => sum + topUp.tokens, 0);
}

/**
 * Finds requests that were refused for want of budget although enough of it was
 * left, wherever in the fleet it stood, also where the refusing host could not
 * reach it.
 */
export function findFalseRefusals(
  records: readonly RequestRecord[],
  ledger: LedgerAudit,
  topUps: readonly RunTopUp[],
): readonly FalseRefusal[] {
  return ledger.organisations.flatMap(({organisation, creditedTokens}) => {
    const own = records.filter(
      ({request}) => request.from.organisation === organisation,
    );
    return own
      .filter(
        ({final}) =>
          final?.kind === ResultKind.NotRun && final.problem === BUDGET_PROBLEM,
      )
      .map(record => ({
        record,
        leftTokens:
          creditedTokens -
          creditedLater(record, topUps) -
          usedAt(record, own, ledger),
      }))
      .filter(({record, leftTokens}) => leftTokens >= record.boundTokens);
  });
}

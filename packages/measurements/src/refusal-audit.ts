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

/**
 * Finds requests that were refused for want of budget although enough of it was
 * left, wherever in the fleet it stood. Top-ups during a run make it find too
 * many: the budget counts as it is in the end.
 */
export function findFalseRefusals(
  records: readonly RequestRecord[],
  ledger: LedgerAudit,
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
        leftTokens: creditedTokens - usedAt(record, own, ledger),
      }))
      .filter(({record, leftTokens}) => leftTokens >= record.boundTokens);
  });
}

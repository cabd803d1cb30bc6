import {ResultKind} from './caller-result.js';
import type {LedgerAudit} from './ledger-audit.js';
import type {RequestRecord} from './request-record.js';

const BUDGET_PROBLEM = 'budget-exhausted';

/** A request that was refused although budget remained. */
export interface FalseRefusal {
  readonly record: RequestRecord;
  /** Tokens of the budget that were neither used nor reserved when it was refused. */
  readonly remainingTokens: number;
}

/**
 * Returns the tokens that an organisation's other requests had used or reserved when a
 * request was refused. A request that was in progress at any time during the refused
 * exchange counts with its full bound, because that bound must be reserved; this rules
 * out false positives.
 */
function usedTokensDuring(
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
  /**
   * When it had been appended to the log, in milliseconds on the runner's monotonic
   * clock.
   */
  readonly atMilliseconds: number;
}

/** Returns the tokens credited after the refused exchange of a request started. */
function tokensCreditedAfter(
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
 * Finds requests that were refused for lack of budget although enough tokens remained
 * anywhere in the fleet, including on hosts that the refusing host couldn't reach.
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
        remainingTokens:
          creditedTokens -
          tokensCreditedAfter(record, topUps) -
          usedTokensDuring(record, own, ledger),
      }))
      .filter(
        ({record, remainingTokens}) => remainingTokens >= record.boundTokens,
      );
  });
}

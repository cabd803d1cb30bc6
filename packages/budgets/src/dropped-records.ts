import {createCheckpoint, foldFromCheckpoint} from './budget-checkpoint.js';
import type {BudgetFold} from './budget-fold.js';
import {allocatedTokens, type TokenLimits} from './grant-ceilings.js';

/**
 * Continues a fold after records that the store has dropped. What holders may have used
 * of the grants in these records counts as spent: all tokens below each organisation's
 * ceiling, or all tokens if there was none.
 *
 * All holders are closed. Processes that have folded the dropped records may still run,
 * and give tokens back that their grants in these records allocated. Such a return must
 * not make room twice, for holders that have folded these records and for the others.
 *
 * @param fold The state before the dropped records. It does not change.
 * @param ceilings The newest ceilings; undefined if the checkpoint's writer used grants
 *     without a ceiling.
 * @param nextOffset Offset at which the fold continues.
 * @example
 * ```ts
 * const resumed = foldAfterDrop(fold, new Map([['school', 50]]), 7);
 * ```
 */
export function foldAfterDrop(
  fold: BudgetFold,
  ceilings: TokenLimits | undefined,
  nextOffset: number,
): BudgetFold {
  const resumed = foldFromCheckpoint(createCheckpoint(fold));
  resumed.nextOffset = nextOffset;
  resumed.closeHolders();
  for (const [organisation, tokens] of ceilings ?? budgetsOf(fold)) {
    const uncharged = tokens - allocatedTokens(resumed, organisation);
    resumed.charge(organisation, Math.max(0, uncharged));
  }
  return resumed;
}

function budgetsOf({organisations}: BudgetFold): TokenLimits {
  return new Map(
    [...organisations].map(([organisation, {prepaid}]) => [
      organisation,
      prepaid,
    ]),
  );
}

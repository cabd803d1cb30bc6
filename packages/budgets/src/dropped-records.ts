import {createCheckpoint, foldFromCheckpoint} from './budget-checkpoint.js';
import type {BudgetFold} from './budget-fold.js';
import type {TokenLimits} from './uncovered-grants.js';

/**
 * Continues a fold after records that the store has dropped. What holders may have used
 * of the grants in these records counts as spent: each organisation's limit of uncovered
 * grants, or all unallocated tokens if there was no limit.
 *
 * @param fold The state before the dropped records. It does not change.
 * @param limits Limits of the newest checkpoint; undefined if its writer did not limit
 *     the use of grants.
 * @param nextOffset Offset at which the fold continues.
 * @example
 * ```ts
 * const resumed = foldAfterDrop(fold, new Map([['school', 50]]), 7);
 * ```
 */
export function foldAfterDrop(
  fold: BudgetFold,
  limits: TokenLimits | undefined,
  nextOffset: number,
): BudgetFold {
  const resumed = foldFromCheckpoint(createCheckpoint(fold));
  resumed.nextOffset = nextOffset;
  const charges = limits ?? unallocatedTokens(fold);
  for (const [organisation, tokens] of charges) {
    resumed.charge(organisation, tokens);
  }
  return resumed;
}

function unallocatedTokens(fold: BudgetFold): TokenLimits {
  return new Map(
    [...fold.organisations.keys()].map(organisation => [
      organisation,
      Math.max(0, fold.view(organisation)?.unallocated ?? 0),
    ]),
  );
}

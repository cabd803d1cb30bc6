import {
  failed,
  notRun,
  OwnReason,
  STOPPING_RETRY_MILLISECONDS,
  type OwnAnswer,
} from './own-answer.js';
import {BudgetRefusal} from './token-waiters.js';

/** Without a budget's grant now, one is likely after about this long. */
const BUDGET_RETRY_MILLISECONDS = 600;
/**
 * An outage of unknown length lasts, at the median, about as long again as it has
 * lasted; within these bounds that is when to come back. Load: the store is away for
 * 9 s and a small budget's grants are used up. Harm: callers that return at once are
 * refused again, and have no try left when the store is back.
 */
const MINIMUM_STORE_RETRY_MILLISECONDS = 1_000;
const MAXIMUM_STORE_RETRY_MILLISECONDS = 5_000;

/**
 * What a caller is told whose request got no reservation.
 *
 * @param unavailableMilliseconds How long the store has been away; 0 where it is not.
 */
export function budgetAnswer(
  refusal: BudgetRefusal,
  unavailableMilliseconds: number,
): OwnAnswer {
  switch (refusal) {
    case BudgetRefusal.Exhausted:
      return failed(402, OwnReason.BudgetExhausted);
    case BudgetRefusal.HeldElsewhere:
      return notRun(OwnReason.BudgetUnavailable, BUDGET_RETRY_MILLISECONDS);
    case BudgetRefusal.Stopping:
      return notRun(OwnReason.Stopping, STOPPING_RETRY_MILLISECONDS);
    case BudgetRefusal.StoreUnavailable:
      return notRun(
        OwnReason.BudgetUnavailable,
        Math.min(
          MAXIMUM_STORE_RETRY_MILLISECONDS,
          Math.max(MINIMUM_STORE_RETRY_MILLISECONDS, unavailableMilliseconds),
        ),
      );
  }
}

import {
  failureReply,
  notExecutedReply,
  LocalReplyReason,
  STOPPING_REPLY,
  type LocalReply,
} from './local-reply.js';
import {BudgetRefusal} from './token-waiters.js';

/** `Retry-After` while other holders have the tokens: a grant is likely by then. */
const BUDGET_RETRY_MILLISECONDS = 600;
/**
 * Bounds of the retry delay while the store is unavailable. The median remaining time of
 * an outage is about the time that it has already lasted, so that is the delay between
 * these bounds. When a 9 s outage uses up a small budget's grants, callers that retry
 * immediately are refused again and have no attempts left when the store is back.
 */
const MINIMUM_STORE_RETRY_MILLISECONDS = 1_000;
const MAXIMUM_STORE_RETRY_MILLISECONDS = 5_000;

/**
 * Builds the answer to a caller whose request got no reservation.
 *
 * @param unavailableMilliseconds How long the store has been unavailable; 0 if it is
 *     available.
 */
export function budgetAnswer(
  refusal: BudgetRefusal,
  unavailableMilliseconds: number,
): LocalReply {
  switch (refusal) {
    case BudgetRefusal.Exhausted:
      return failureReply(402, LocalReplyReason.BudgetExhausted);
    case BudgetRefusal.HeldElsewhere:
      return notExecutedReply(
        LocalReplyReason.BudgetUnavailable,
        BUDGET_RETRY_MILLISECONDS,
      );
    case BudgetRefusal.Stopping:
      return STOPPING_REPLY;
    case BudgetRefusal.StoreUnavailable:
      return notExecutedReply(
        LocalReplyReason.BudgetUnavailable,
        Math.min(
          MAXIMUM_STORE_RETRY_MILLISECONDS,
          Math.max(MINIMUM_STORE_RETRY_MILLISECONDS, unavailableMilliseconds),
        ),
      );
  }
}

import {
  AdmissionPolicy,
  type QueueOccupancy,
  type SlotOccupancy,
} from './admission-policy.js';
import {RefusalReason} from './decision.js';
import type {WorkItem} from './work.js';

/**
 * Retries that an organisation may make per first attempt while its lane is
 * overloaded. Callers that give up and retry make the next attempts more likely
 * to fail, so the fleet would stay overloaded after the cause is gone. At a
 * tenth, retries add at most a tenth to the offered load.
 */
const RETRIES_PER_FIRST_TRY = 0.1;

/**
 * Retries accepted in a burst, so that the loss of one endpoint causes no
 * refusals.
 */
const RETRY_BURST = 10;

/**
 * Batch work leaves free this many times the square root of the slots that
 * interactive work occupies (square-root staffing: interactive demand
 * fluctuates by about one such root). When there is enough batch work to fill
 * the fleet beside interactive work well below its capacity, batch answers hold
 * their slots several times longer. Once they hold all slots, a small burst of
 * interactive work has to wait for slots that are released slowly. An idle slot
 * costs less than its share of the work, because a smaller batch runs faster
 * steps.
 *
 * In the measurement `decisions-saturation`, interactive p99 at 1.5 times
 * capacity is three times that at 0.8 with a factor of two, and 1.3 times with a
 * factor of three. A factor of 3.5 costs a further two hundredths of the useful
 * work.
 */
const INTERACTIVE_RESERVE_ROOTS = 3;

/**
 * Maximum number of organisations tracked; the least recently seen one is
 * evicted.
 */
const MAXIMUM_TRACKED_ORGANISATIONS = 4_096;

/**
 * Retry budget per organisation: each first attempt adds a tenth of a retry. It
 * applies only under overload, because retries are harmless otherwise. The
 * queue limit is shared between organisations as well.
 */
export class FairAdmission extends AdmissionPolicy {
  /** Remaining retries, least recently seen organisation first. */
  private readonly budgets = new Map<string, number>();

  override admit(
    item: WorkItem,
    isOverloaded: boolean,
  ): RefusalReason | undefined {
    const budget = this.budgets.get(item.organisation) ?? RETRY_BURST;
    if (item.isRetry !== true) {
      this.storeBudget(
        item.organisation,
        Math.min(RETRY_BURST, budget + RETRIES_PER_FIRST_TRY),
      );
      return undefined;
    }
    if (!isOverloaded) {
      return undefined;
    }
    if (budget < 1) {
      return RefusalReason.RetryBudgetExhausted;
    }
    this.storeBudget(item.organisation, budget - 1);
    return undefined;
  }

  /**
   * Limits the queued requests of one organisation to the free part of the
   * queue (dynamic threshold), so that there is always room for another
   * organisation. Otherwise an organisation that sends more batch work than the
   * queue can hold would keep all others out of it.
   */
  override admitToQueue(occupancy: QueueOccupancy): RefusalReason | undefined {
    const free = occupancy.maximumQueued - occupancy.queued;
    if (free <= 0) {
      return RefusalReason.QueueFull;
    }
    return occupancy.queuedOfOrganisation < free
      ? undefined
      : RefusalReason.ShareExhausted;
  }

  override mayUseFreeSlot({free, interactive}: SlotOccupancy): boolean {
    const reserve = INTERACTIVE_RESERVE_ROOTS * Math.sqrt(interactive);
    return free > Math.floor(reserve);
  }

  private storeBudget(organisation: string, budget: number): void {
    this.budgets.delete(organisation);
    this.budgets.set(organisation, budget);
    if (this.budgets.size > MAXIMUM_TRACKED_ORGANISATIONS) {
      for (const oldest of this.budgets.keys()) {
        this.budgets.delete(oldest);
        break;
      }
    }
  }
}

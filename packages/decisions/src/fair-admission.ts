import {
  AdmissionPolicy,
  type QueueOccupancy,
  type SlotOccupancy,
} from './admission-policy.js';
import {RefusalReason} from './decision.js';
import type {WorkItem} from './work.js';

/**
 * Retries per first try that an organisation may make while its lane is
 * overloaded. Load: callers give up and try again, each try of which makes the
 * next more likely to fail. Harm: the fleet stays overloaded after the cause is
 * gone. At a tenth, retries can add no more than a tenth to the offered load.
 */
const RETRIES_PER_FIRST_TRY = 0.1;

/** Retries that may come at once, so that one lost endpoint is no refusal. */
const RETRY_BURST = 10;

/**
 * Batch work leaves free so many times the square root of the slots that
 * interactive work takes (square-root staffing: its demand fluctuates by about
 * one such root). Load: batch work enough to fill the fleet, beside interactive
 * work well below its capacity. Harm: batch answers hold their slots several
 * times longer; once they hold all of them, a small burst of interactive work
 * waits for slots that fall free slowly. An idle slot costs less than its share
 * of the work, since a smaller batch steps faster.
 *
 * Three roots, by the measurement `decisions-saturation`: with two, interactive
 * p99 at 1.5 times capacity is three times that at 0.8, with three 1.3 times;
 * 3.5 cost a further two hundredths of the useful work.
 */
const INTERACTIVE_RESERVE_ROOTS = 3;

/** Organisations remembered; the one longest unseen is forgotten. */
const REMEMBERED_ORGANISATIONS = 4_096;

/**
 * A retry budget for each organisation: each first try adds a tenth of a retry.
 * Applied only under overload, since in calm a retry harms nobody. The room for
 * waiting requests is shared out too.
 */
export class FairAdmission extends AdmissionPolicy {
  /** Retries left, the organisation longest unseen first. */
  private readonly budgets = new Map<string, number>();

  override admit(
    item: WorkItem,
    isOverloaded: boolean,
  ): RefusalReason | undefined {
    const budget = this.budgets.get(item.organisation) ?? RETRY_BURST;
    if (item.isRetry !== true) {
      this.remember(
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
    this.remember(item.organisation, budget - 1);
    return undefined;
  }

  /**
   * Load: one organisation sends more batch work than the queue may hold. Harm:
   * nobody else's request may wait. Each may hold no more than what is still
   * free (dynamic threshold), so that there is always room for another one.
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

  override mayTakeOrdinary({free, interactive}: SlotOccupancy): boolean {
    const reserve = INTERACTIVE_RESERVE_ROOTS * Math.sqrt(interactive);
    return free > Math.floor(reserve);
  }

  private remember(organisation: string, budget: number): void {
    this.budgets.delete(organisation);
    this.budgets.set(organisation, budget);
    if (this.budgets.size > REMEMBERED_ORGANISATIONS) {
      for (const oldest of this.budgets.keys()) {
        this.budgets.delete(oldest);
        break;
      }
    }
  }
}

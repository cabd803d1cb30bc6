import {RefusalReason} from './decision.js';
import {
  RefusalPolicy,
  type EarlyRefusal,
  type WaitEstimate,
} from './refusal-policy.js';
import {WorkClass, type WorkItem} from './work.js';

/**
 * While a queue has been standing, interactive work may wait at most this part
 * of the time that a first token takes anyway. Load: more interactive work than
 * capacity for longer than a burst. Harm: a standing queue serves nobody sooner,
 * it only makes each answer late. Half keeps the p99 to first token within 1.5
 * times that of a fleet with free slots, by its construction.
 */
const STANDING_WAIT_SHARE = 0.5;

/**
 * Refuses at once what cannot have its first token by its deadline, so that the
 * caller learns it while it can still do something else, and no slot is spent on
 * an answer that comes too late. A burst may use the whole time until the
 * deadline; a standing queue is cut short (controlled delay).
 */
export class DeadlineRefusal extends RefusalPolicy {
  override refuse(
    item: WorkItem,
    estimate: WaitEstimate,
    now: number,
  ): EarlyRefusal | undefined {
    const longest = longestWait(item, estimate, now);
    const excess = estimate.waitMilliseconds - longest;
    return excess <= 0
      ? undefined
      : {
          reason: RefusalReason.DeadlineUnreachable,
          excessMilliseconds: excess,
        };
  }

  /** From then on its first token would come too late. */
  override refuseAt(item: WorkItem, estimate: WaitEstimate): number {
    return item.deadlineAt - estimate.firstTokenMilliseconds;
  }
}

function longestWait(
  item: WorkItem,
  estimate: WaitEstimate,
  now: number,
): number {
  const untilLate = item.deadlineAt - now - estimate.firstTokenMilliseconds;
  const isCut =
    estimate.isOverloaded && item.workClass === WorkClass.Interactive;
  return isCut
    ? Math.min(untilLate, estimate.firstTokenMilliseconds * STANDING_WAIT_SHARE)
    : untilLate;
}

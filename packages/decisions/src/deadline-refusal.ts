import {RefusalReason} from './decision.js';
import {
  RefusalPolicy,
  type EarlyRefusal,
  type WaitEstimate,
} from './refusal-policy.js';
import {WorkClass, type WorkItem} from './work.js';

/**
 * Maximum wait of interactive work in a standing queue, as a share of the
 * expected time to first token. When there is more interactive work than
 * capacity for longer than a burst, a standing queue serves no request sooner
 * and only delays every answer. By construction, one half keeps the p99 time to
 * first token within 1.5 times that of a fleet with free slots.
 */
const MAXIMUM_STANDING_WAIT_SHARE = 0.5;

/**
 * Immediately refuses requests that cannot get their first token before their
 * deadline. The caller learns of it while it can still use an alternative, and
 * no slot is spent on an answer that arrives too late. A burst may use the
 * whole time until the deadline; waits in a standing queue are limited
 * (controlled delay).
 */
export class DeadlineRefusal extends RefusalPolicy {
  override refuse(
    item: WorkItem,
    estimate: WaitEstimate,
    now: number,
  ): EarlyRefusal | undefined {
    const maximumWait = maximumWaitMilliseconds(item, estimate, now);
    const excessMilliseconds = estimate.waitMilliseconds - maximumWait;
    return excessMilliseconds <= 0
      ? undefined
      : {
          reason: RefusalReason.DeadlineUnreachable,
          excessMilliseconds,
        };
  }

  /** Returns the time after which the first token would miss the deadline. */
  override refuseAt(item: WorkItem, estimate: WaitEstimate): number {
    return item.deadlineAt - estimate.firstTokenMilliseconds;
  }
}

function maximumWaitMilliseconds(
  item: WorkItem,
  estimate: WaitEstimate,
  now: number,
): number {
  const untilTooLate = item.deadlineAt - now - estimate.firstTokenMilliseconds;
  const isWaitLimited =
    estimate.isOverloaded && item.workClass === WorkClass.Interactive;
  return isWaitLimited
    ? Math.min(
        untilTooLate,
        estimate.firstTokenMilliseconds * MAXIMUM_STANDING_WAIT_SHARE,
      )
    : untilTooLate;
}

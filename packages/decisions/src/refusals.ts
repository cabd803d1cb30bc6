import {DecisionKind, RefusalReason, type RefuseDecision} from './decision.js';
import type {Lane} from './lane.js';
import {RetrySchedule} from './retry-schedule.js';
import type {WorkItem} from './work.js';

/** Approximate time for a changed list of endpoints to reach a router. */
const NO_ENDPOINT_RETRY_AFTER_MILLISECONDS = 1_000;

/** Creates refusals with a computed time to retry after. */
export class Refusals {
  private readonly retrySchedule: RetrySchedule;

  /** @param fraction Returns random numbers in [0, 1). */
  constructor(fraction: () => number) {
    this.retrySchedule = new RetrySchedule(fraction);
  }

  /** @param excessMilliseconds By how much the expected wait is too long. */
  refuse(
    item: WorkItem,
    lane: Lane,
    reason: RefusalReason,
    excessMilliseconds: number,
    now: number,
  ): RefuseDecision {
    const retryAfterMilliseconds = this.retrySchedule.schedule(
      item.organisation,
      excessMilliseconds,
      lane.serviceIntervalMilliseconds(item),
      now,
    );
    return {
      kind: DecisionKind.Refuse,
      requestId: item.requestId,
      reason,
      retryAfterMilliseconds,
    };
  }

  /** Creates the refusal of a request whose lane has no usable endpoint. */
  refuseWithoutEndpoint(item: WorkItem): RefuseDecision {
    return {
      kind: DecisionKind.Refuse,
      requestId: item.requestId,
      reason: RefusalReason.NoEndpoint,
      retryAfterMilliseconds: NO_ENDPOINT_RETRY_AFTER_MILLISECONDS,
    };
  }
}

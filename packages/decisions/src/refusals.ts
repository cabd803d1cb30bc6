import {DecisionKind, RefusalReason, type RefuseDecision} from './decision.js';
import type {Lane} from './lane.js';
import {ReturnSchedule} from './return-schedule.js';
import type {WorkItem} from './work.js';

/** A changed list of endpoints takes about this long to reach a router. */
const NO_ENDPOINT_RETURN_MILLISECONDS = 1_000;

/** Words refusals, each with a computed time to return. */
export class Refusals {
  private readonly returns: ReturnSchedule;

  /** @param fraction Random numbers from 0 (included) to 1 (excluded). */
  constructor(fraction: () => number) {
    this.returns = new ReturnSchedule(fraction);
  }

  /** @param excessMilliseconds By how much the expected wait is too long. */
  refuse(
    item: WorkItem,
    lane: Lane,
    reason: RefusalReason,
    excessMilliseconds: number,
    now: number,
  ): RefuseDecision {
    const retryAfterMilliseconds = this.returns.book(
      item.organisation,
      excessMilliseconds,
      lane.turnMilliseconds(item),
      now,
    );
    return {
      kind: DecisionKind.Refuse,
      requestId: item.requestId,
      reason,
      retryAfterMilliseconds,
    };
  }

  /** No endpoint serves it. */
  refuseWithoutEndpoint(item: WorkItem): RefuseDecision {
    return {
      kind: DecisionKind.Refuse,
      requestId: item.requestId,
      reason: RefusalReason.NoEndpoint,
      retryAfterMilliseconds: NO_ENDPOINT_RETURN_MILLISECONDS,
    };
  }
}

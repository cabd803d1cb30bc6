import type {RefusalReason} from './decision.js';
import type {WorkItem} from './work.js';

/** Estimates for a request that is queued now. */
export interface WaitEstimate {
  /** Time until it gets a slot. */
  readonly waitMilliseconds: number;
  /** Time from getting a slot to its first token. */
  readonly firstTokenMilliseconds: number;
  /** True while the queue of its class is standing. */
  readonly isOverloaded: boolean;
}

/** A refusal before the request is queued. */
export interface EarlyRefusal {
  readonly reason: RefusalReason;
  /** By how much the expected wait is too long. */
  readonly excessMilliseconds: number;
}

/** Decides whether a request that finds no free slot may be queued. */
export abstract class RefusalPolicy {
  /** @returns Undefined if the request may be queued. */
  abstract refuse(
    item: WorkItem,
    estimate: WaitEstimate,
    now: number,
  ): EarlyRefusal | undefined;

  /**
   * Returns when a queued request that has not been placed is refused.
   *
   * @returns Infinity if it stays queued until it is withdrawn.
   */
  abstract refuseAt(item: WorkItem, estimate: WaitEstimate): number;
}

/** Baseline policy: never refuses a request because of its expected wait. */
export class NeverRefuse extends RefusalPolicy {
  override refuse(): undefined {
    return undefined;
  }

  override refuseAt(): number {
    return Infinity;
  }
}

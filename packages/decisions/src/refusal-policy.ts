import type {RefusalReason} from './decision.js';
import type {WorkItem} from './work.js';

/** What is expected of a request if it joined its queue now. */
export interface WaitEstimate {
  /** Until it gets a slot. */
  readonly waitMilliseconds: number;
  /** From the slot to its first token. */
  readonly firstTokenMilliseconds: number;
  /** True while a queue of its class has been standing. */
  readonly isOverloaded: boolean;
}

/** A refusal before the work has waited. */
export interface EarlyRefusal {
  readonly reason: RefusalReason;
  /** By how much the expected wait is too long. */
  readonly excessMilliseconds: number;
}

/** Decides whether a request that finds no free slot may wait. */
export abstract class RefusalPolicy {
  /** @returns Undefined where the request may wait. */
  abstract refuse(
    item: WorkItem,
    estimate: WaitEstimate,
    now: number,
  ): EarlyRefusal | undefined;

  /**
   * When waiting work that has not been placed is refused.
   *
   * @returns Infinity where it waits until it is withdrawn.
   */
  abstract refuseAt(item: WorkItem, estimate: WaitEstimate): number;
}

/** Nothing is refused for its expected wait: the baseline. */
export class NeverRefuse extends RefusalPolicy {
  override refuse(): undefined {
    return undefined;
  }

  override refuseAt(): number {
    return Infinity;
  }
}

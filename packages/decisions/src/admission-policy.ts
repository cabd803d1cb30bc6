import {RefusalReason} from './decision.js';
import type {WorkItem} from './work.js';

/** Current use of the limit on queued requests. */
export interface QueueOccupancy {
  readonly queued: number;
  readonly queuedOfOrganisation: number;
  readonly maximumQueued: number;
}

/** Slot usage of one lane (service and model) in one data centre. */
export interface SlotOccupancy {
  readonly free: number;
  /** Slots occupied by this router's interactive requests. */
  readonly interactive: number;
}

/** Decides whether a request may compete for a slot or enter the queue. */
export abstract class AdmissionPolicy {
  /**
   * @param isOverloaded True while the queue of the request's class is
   *     standing.
   * @returns The reason to refuse the request, or undefined to admit it.
   */
  abstract admit(
    item: WorkItem,
    isOverloaded: boolean,
  ): RefusalReason | undefined;

  /**
   * @returns The reason to refuse a request that finds no free slot, or
   * undefined if it may be queued.
   */
  abstract admitToQueue(occupancy: QueueOccupancy): RefusalReason | undefined;

  /** Whether a request without precedence may use a free slot. */
  abstract mayUseFreeSlot(occupancy: SlotOccupancy): boolean;
}

/**
 * Baseline policy: admits every request, and refuses only when the queue is
 * full.
 */
export class AdmitAll extends AdmissionPolicy {
  override admit(): undefined {
    return undefined;
  }

  override admitToQueue(occupancy: QueueOccupancy): RefusalReason | undefined {
    return occupancy.queued < occupancy.maximumQueued
      ? undefined
      : RefusalReason.QueueFull;
  }

  override mayUseFreeSlot(): boolean {
    return true;
  }
}

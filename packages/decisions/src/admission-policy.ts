import {RefusalReason} from './decision.js';
import type {WorkItem} from './work.js';

/** How much of the room for waiting requests is taken. */
export interface QueueOccupancy {
  readonly queued: number;
  readonly queuedOfOrganisation: number;
  readonly maximumQueued: number;
}

/** The slots of one lane in one data centre. */
export interface SlotOccupancy {
  readonly free: number;
  /** Taken by this router's interactive work. */
  readonly interactive: number;
}

/** Decides whether a request may ask for a slot at all. */
export abstract class AdmissionPolicy {
  /**
   * @param isOverloaded True while a queue of its class has been standing.
   * @returns Why it may not, or undefined.
   */
  abstract admit(
    item: WorkItem,
    isOverloaded: boolean,
  ): RefusalReason | undefined;

  /** @returns Why a request that finds no free slot may not wait. */
  abstract admitToQueue(occupancy: QueueOccupancy): RefusalReason | undefined;

  /** Whether work without precedence may take a free slot. */
  abstract mayTakeOrdinary(occupancy: SlotOccupancy): boolean;
}

/** Everything is admitted: the baseline. */
export class AdmitAll extends AdmissionPolicy {
  override admit(): undefined {
    return undefined;
  }

  override admitToQueue(occupancy: QueueOccupancy): RefusalReason | undefined {
    return occupancy.queued < occupancy.maximumQueued
      ? undefined
      : RefusalReason.QueueFull;
  }

  override mayTakeOrdinary(): boolean {
    return true;
  }
}

import {WorkClass} from './work.js';

/**
 * Minimum share of the tokens for batch work that waits while interactive work
 * waits as well. If interactive work alone filled the fleet for hours, case
 * reviews would never start and a certification date would slip. A tenth keeps
 * batch work progressing, and costs interactive work at most a tenth of the
 * capacity.
 */
export const MINIMUM_BATCH_SHARE = 0.1;

/**
 * Smoothing factor of the measured share, which covers about the last hundred
 * requests.
 */
const SMOOTHING_FACTOR = 0.01;

/**
 * Start-time fair queueing between the two classes of work, weighted nine to
 * one. Interactive work is always next while its load is below nine tenths of
 * the capacity, because an idle class restarts at the current virtual time.
 */
export class ClassShares {
  private virtualTime = 0;
  private interactiveTag = 0;
  private batchTag = 0;
  private meanCharge = 0;
  private measuredBatchShare = MINIMUM_BATCH_SHARE;

  /**
   * True if waiting batch work has received less than its tenth by the finish
   * tags, and is therefore next.
   */
  get isBatchNext(): boolean {
    return this.batchTag < this.interactiveTag;
  }

  /**
   * True if batch work received less than a tenth of the tokens of about the
   * last hundred requests while it waited.
   */
  get isBatchStarved(): boolean {
    return this.measuredBatchShare < MINIMUM_BATCH_SHARE;
  }

  /**
   * Share of the tokens that batch work recently received while it waited, and
   * at least its guaranteed share.
   */
  get batchShare(): number {
    return Math.max(MINIMUM_BATCH_SHARE, this.measuredBatchShare);
  }

  /** Marks a class as waiting again after it was idle. */
  activate(workClass: WorkClass): void {
    if (workClass === WorkClass.Interactive) {
      this.interactiveTag = Math.max(this.interactiveTag, this.virtualTime);
    } else {
      this.batchTag = Math.max(this.batchTag, this.virtualTime);
    }
  }

  /**
   * Charges a class for a placed request.
   *
   * @param isBatchWaiting Whether batch work is waiting; only then the measured
   *     share is updated.
   */
  charge(workClass: WorkClass, tokens: number, isBatchWaiting: boolean): void {
    const isBatch = workClass === WorkClass.Batch;
    const tag = isBatch ? this.batchTag : this.interactiveTag;
    this.virtualTime = Math.max(this.virtualTime, tag);
    this.setTag(workClass, this.virtualTime + tokens / weightOf(workClass));
    this.meanCharge += SMOOTHING_FACTOR * (tokens - this.meanCharge);
    if (isBatchWaiting) {
      const weight = Math.min(1, (SMOOTHING_FACTOR * tokens) / this.meanCharge);
      const sample = isBatch ? 1 : 0;
      this.measuredBatchShare += weight * (sample - this.measuredBatchShare);
    }
  }

  /** Refunds the unused part of a charge, which is an upper bound. */
  refund(workClass: WorkClass, tokens: number): void {
    const tag =
      workClass === WorkClass.Batch ? this.batchTag : this.interactiveTag;
    this.setTag(workClass, tag - tokens / weightOf(workClass));
  }

  private setTag(workClass: WorkClass, tag: number): void {
    if (workClass === WorkClass.Batch) {
      this.batchTag = tag;
    } else {
      this.interactiveTag = tag;
    }
  }
}

function weightOf(workClass: WorkClass): number {
  return workClass === WorkClass.Batch
    ? MINIMUM_BATCH_SHARE
    : 1 - MINIMUM_BATCH_SHARE;
}

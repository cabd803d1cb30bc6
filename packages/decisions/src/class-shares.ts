import {WorkClass} from './work.js';

/**
 * Share of the tokens that waiting batch work gets while interactive work waits
 * as well. Load: interactive work alone fills the fleet for hours. Harm: case
 * reviews never start and a certification date slips. A tenth keeps batch work
 * moving, and costs interactive work at most a tenth of the capacity.
 */
export const BATCH_SHARE = 0.1;

/** The measured share follows about the last hundred requests. */
const SAMPLE_SHARE = 0.01;

/**
 * Start-time fair queueing between the two classes of work, nine to one. While
 * interactive work comes in below nine tenths of the capacity it is always next,
 * since an idle class starts again at the present virtual time.
 */
export class ClassShares {
  private virtualTime = 0;
  private interactiveTag = 0;
  private batchTag = 0;
  private meanCharge = 0;
  private measuredBatchShare = BATCH_SHARE;

  /** True where waiting batch work has had less than its tenth. */
  get owesBatch(): boolean {
    return this.batchTag < this.interactiveTag;
  }

  /**
   * True where batch work has got less than its tenth of the last hundred
   * requests' tokens while it waited.
   */
  get isBatchStarved(): boolean {
    return this.measuredBatchShare < BATCH_SHARE;
  }

  /** The part of the tokens that batch work has got lately while it waited. */
  get batchShare(): number {
    return Math.max(BATCH_SHARE, this.measuredBatchShare);
  }

  /** Work of a class waits again. */
  activate(workClass: WorkClass): void {
    if (workClass === WorkClass.Interactive) {
      this.interactiveTag = Math.max(this.interactiveTag, this.virtualTime);
    } else {
      this.batchTag = Math.max(this.batchTag, this.virtualTime);
    }
  }

  /** @param doesBatchWait Whether the measured share may learn from it. */
  charge(workClass: WorkClass, tokens: number, doesBatchWait: boolean): void {
    const isBatch = workClass === WorkClass.Batch;
    const tag = isBatch ? this.batchTag : this.interactiveTag;
    this.virtualTime = Math.max(this.virtualTime, tag);
    this.setTag(workClass, this.virtualTime + tokens / weightOf(workClass));
    this.meanCharge += SAMPLE_SHARE * (tokens - this.meanCharge);
    if (doesBatchWait) {
      const weight = Math.min(1, (SAMPLE_SHARE * tokens) / this.meanCharge);
      const sample = isBatch ? 1 : 0;
      this.measuredBatchShare += weight * (sample - this.measuredBatchShare);
    }
  }

  /** A charge was an upper bound: what was not used is given back. */
  giveBack(workClass: WorkClass, tokens: number): void {
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
  return workClass === WorkClass.Batch ? BATCH_SHARE : 1 - BATCH_SHARE;
}

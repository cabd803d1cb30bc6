import {chargeOf, ClassQueue} from './class-queue.js';
import {QueuePolicy, type Backlog, type QueuedWork} from './queue-policy.js';
import {WorkClass, type WorkItem} from './work.js';

/**
 * Share of the tokens that waiting batch work gets while interactive work waits
 * as well. Load: interactive work alone fills the fleet for hours. Harm: case
 * reviews never start and a certification date slips. A tenth keeps batch work
 * moving, and costs interactive work at most a tenth of the capacity.
 */
export const BATCH_SHARE = 0.1;

interface ClassAccount {
  readonly queue: ClassQueue;
  readonly weight: number;
  finishTag: number;
}

/**
 * Interactive before batch, and within a class fair shares between
 * organisations by tokens.
 *
 * The two classes share by start-time fair queueing too, nine to one: while
 * interactive work comes in below nine tenths of the capacity it is always next,
 * since an idle class starts again at the present virtual time; beyond that,
 * batch work keeps its tenth.
 */
export class FairQueue extends QueuePolicy {
  private readonly interactive: ClassAccount = {
    queue: new ClassQueue(),
    weight: 1 - BATCH_SHARE,
    finishTag: 0,
  };
  private readonly batch: ClassAccount = {
    queue: new ClassQueue(),
    weight: BATCH_SHARE,
    finishTag: 0,
  };
  private virtualTime = 0;

  override get size(): number {
    return this.interactive.queue.size + this.batch.queue.size;
  }

  /** Those that a newcomer of the class may not overtake. */
  override sizeOf(workClass: WorkClass): number {
    return workClass === WorkClass.Interactive
      ? this.interactive.queue.size
      : this.size;
  }

  override push(work: QueuedWork): void {
    const account = this.accountOf(work.item);
    if (account.queue.size === 0) {
      account.finishTag = Math.max(account.finishTag, this.virtualTime);
    }
    account.queue.push(work);
  }

  override peek(): QueuedWork | undefined {
    if (this.batch.queue.size === 0) {
      return this.interactive.queue.peek();
    }
    if (this.interactive.queue.size === 0) {
      return this.batch.queue.peek();
    }
    const first =
      this.interactive.finishTag <= this.batch.finishTag
        ? this.interactive
        : this.batch;
    return first.queue.peek();
  }

  override remove(requestId: string): boolean {
    return (
      this.interactive.queue.remove(requestId) ||
      this.batch.queue.remove(requestId)
    );
  }

  override charge(item: WorkItem): void {
    const account = this.accountOf(item);
    account.queue.charge(item);
    this.virtualTime = Math.max(this.virtualTime, account.finishTag);
    account.finishTag = this.virtualTime + chargeOf(item) / account.weight;
  }

  override settle(item: WorkItem, usedTokens: number): void {
    const account = this.accountOf(item);
    account.queue.settle(item, usedTokens);
    account.finishTag -= (chargeOf(item) - usedTokens) / account.weight;
  }

  override ahead(item: WorkItem): Backlog {
    const own = this.accountOf(item).queue.ahead(item);
    if (item.workClass === WorkClass.Interactive) {
      return own;
    }
    const before = this.interactive.queue.backlog;
    return {
      requests: before.requests + own.requests,
      outputTokens: before.outputTokens + own.outputTokens,
    };
  }

  private accountOf(item: WorkItem): ClassAccount {
    return item.workClass === WorkClass.Interactive
      ? this.interactive
      : this.batch;
  }
}

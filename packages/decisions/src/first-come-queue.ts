import {QueuePolicy, type QueuedWork} from './queue-policy.js';

/**
 * First come, first served: the baseline. One organisation's burst stands
 * before everybody else's next request.
 */
export class FirstComeQueue extends QueuePolicy {
  /** A map keeps the order of insertion. */
  private readonly waiting = new Map<string, QueuedWork>();

  override get size(): number {
    return this.waiting.size;
  }

  override push(work: QueuedWork): void {
    this.waiting.set(work.item.requestId, work);
  }

  override peek(): QueuedWork | undefined {
    return this.waiting.values().next().value;
  }

  override pop(): QueuedWork | undefined {
    const next = this.peek();
    if (next !== undefined) {
      this.waiting.delete(next.item.requestId);
    }
    return next;
  }

  override remove(requestId: string): boolean {
    return this.waiting.delete(requestId);
  }
}

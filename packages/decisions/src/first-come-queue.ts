import {QueuePolicy, type Backlog, type QueuedWork} from './queue-policy.js';

/**
 * Baseline policy: first come, first served, for both classes of work. A burst
 * of one organisation delays the next request of every other organisation.
 */
export class FirstComeQueue extends QueuePolicy {
  /** A map keeps the insertion order. */
  private readonly waiting = new Map<string, QueuedWork>();
  private outputTokens = 0;

  override readonly hasPrecedenceWaiting = false;
  /** No class has a guaranteed share. */
  override readonly isBatchStarved = false;

  override get size(): number {
    return this.waiting.size;
  }

  /** The classes share one queue. */
  override sizeOf(): number {
    return this.waiting.size;
  }

  override hasPrecedence(): boolean {
    return false;
  }

  override mayOvertake(): boolean {
    return this.waiting.size === 0;
  }

  override push(work: QueuedWork): void {
    this.waiting.set(work.item.requestId, work);
    this.outputTokens += work.item.maximumOutputTokens;
  }

  override peek(): QueuedWork | undefined {
    return this.waiting.values().next().value;
  }

  override remove(requestId: string): boolean {
    const work = this.waiting.get(requestId);
    this.outputTokens -= work?.item.maximumOutputTokens ?? 0;
    return this.waiting.delete(requestId);
  }

  override charge(): void {
    // Shares are not tracked.
  }

  override settle(): void {
    // Shares are not tracked.
  }

  override backlogAhead(): Backlog {
    return {requests: this.waiting.size, outputTokens: this.outputTokens};
  }
}

import {QueuePolicy, type Backlog, type QueuedWork} from './queue-policy.js';

/**
 * First come, first served, for both classes of work alike: the baseline. One
 * organisation's burst stands before everybody else's next request.
 */
export class FirstComeQueue extends QueuePolicy {
  /** A map keeps the order of insertion. */
  private readonly waiting = new Map<string, QueuedWork>();
  private outputTokens = 0;

  override readonly precedenceWaits = false;
  /** No class has a guaranteed share. */
  override readonly owesBatch = false;

  override get size(): number {
    return this.waiting.size;
  }

  /** The classes are not told apart. */
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
    // Nobody's share is counted.
  }

  override settle(): void {
    // Nobody's share is counted.
  }

  override ahead(): Backlog {
    return {requests: this.waiting.size, outputTokens: this.outputTokens};
  }
}

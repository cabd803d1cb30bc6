import {IndexedHeap} from './indexed-heap.js';
import type {Lane} from './lane.js';
import type {QueuedWork} from './queue-policy.js';

/** A request queued in a lane. */
export interface WaitingRequest {
  readonly work: QueuedWork;
  readonly lane: Lane;
}

/**
 * All queued requests of all lanes, indexed by identifier and ordered by
 * expiry.
 */
export class WaitingWork {
  private readonly requests = new Map<string, WaitingRequest>();
  private readonly expiry = new IndexedHeap<string>();
  private readonly byOrganisation = new Map<string, number>();

  get size(): number {
    return this.requests.size;
  }

  /** When the first request expires; undefined if none does. */
  get firstExpiry(): number | undefined {
    const first = this.expiry.peekPriority();
    return first === Infinity ? undefined : first;
  }

  has(requestId: string): boolean {
    return this.requests.has(requestId);
  }

  sizeOf(organisation: string): number {
    return this.byOrganisation.get(organisation) ?? 0;
  }

  /**
   * @param expiresAt Infinity if the request stays queued until it is removed.
   */
  add(request: WaitingRequest, expiresAt: number, now: number): void {
    const {work, lane} = request;
    this.requests.set(work.item.requestId, request);
    this.expiry.set(work.item.requestId, expiresAt);
    this.changeCount(work.item.organisation, 1);
    lane.queue.push(work);
    lane.observeQueue(now);
  }

  /** Removes a request from here and from its lane's queue. */
  remove(requestId: string, now: number): WaitingRequest | undefined {
    const request = this.requests.get(requestId);
    if (request === undefined) {
      return undefined;
    }
    this.requests.delete(requestId);
    this.expiry.remove(requestId);
    this.changeCount(request.work.item.organisation, -1);
    request.lane.queue.remove(requestId);
    request.lane.observeQueue(now);
    return request;
  }

  /** Removes and returns the next expired request. */
  removeExpired(now: number): WaitingRequest | undefined {
    const requestId = this.expiry.peek();
    return requestId !== undefined && (this.firstExpiry ?? Infinity) <= now
      ? this.remove(requestId, now)
      : undefined;
  }

  /** Removes and returns all requests of a lane. */
  removeAll(lane: Lane, now: number): readonly QueuedWork[] {
    const requests = [...this.requests.values()];
    const works = requests
      .filter(request => request.lane === lane)
      .map(request => request.work);
    for (const {item} of works) {
      this.remove(item.requestId, now);
    }
    return works;
  }

  private changeCount(organisation: string, change: number): void {
    const count = this.sizeOf(organisation) + change;
    if (count === 0) {
      this.byOrganisation.delete(organisation);
    } else {
      this.byOrganisation.set(organisation, count);
    }
  }
}

import {IndexedHeap} from './indexed-heap.js';
import type {Lane} from './lane.js';
import type {QueuedWork} from './queue-policy.js';

/** A request that waits in a lane. */
export interface WaitingRequest {
  readonly work: QueuedWork;
  readonly lane: Lane;
}

/** All requests that wait, in every lane, by identifier and by expiry. */
export class WaitingWork {
  private readonly requests = new Map<string, WaitingRequest>();
  private readonly expiry = new IndexedHeap<string>();
  private readonly byOrganisation = new Map<string, number>();

  get size(): number {
    return this.requests.size;
  }

  /** When the first of them expires; undefined where none does. */
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

  /** @param expiresAt Infinity where it waits until it is taken. */
  add(request: WaitingRequest, expiresAt: number, now: number): void {
    const {work, lane} = request;
    this.requests.set(work.item.requestId, request);
    this.expiry.set(work.item.requestId, expiresAt);
    this.count(work.item.organisation, 1);
    lane.queue.push(work);
    lane.observeQueue(now);
  }

  /** Takes a request out of its lane's queue and from here. */
  take(requestId: string, now: number): WaitingRequest | undefined {
    const request = this.requests.get(requestId);
    if (request === undefined) {
      return undefined;
    }
    this.requests.delete(requestId);
    this.expiry.remove(requestId);
    this.count(request.work.item.organisation, -1);
    request.lane.queue.remove(requestId);
    request.lane.observeQueue(now);
    return request;
  }

  /** Takes the next request that has expired. */
  takeExpired(now: number): WaitingRequest | undefined {
    const requestId = this.expiry.peek();
    return requestId !== undefined && (this.firstExpiry ?? Infinity) <= now
      ? this.take(requestId, now)
      : undefined;
  }

  /** Takes all requests of a lane. */
  takeAll(lane: Lane, now: number): readonly QueuedWork[] {
    const requests = [...this.requests.values()];
    const works = requests
      .filter(request => request.lane === lane)
      .map(request => request.work);
    for (const {item} of works) {
      this.take(item.requestId, now);
    }
    return works;
  }

  private count(organisation: string, change: number): void {
    const count = this.sizeOf(organisation) + change;
    if (count === 0) {
      this.byOrganisation.delete(organisation);
    } else {
      this.byOrganisation.set(organisation, count);
    }
  }
}

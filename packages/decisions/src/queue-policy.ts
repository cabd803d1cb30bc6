import type {WorkItem} from './work.js';

/** A request that waits, and since when. */
export interface QueuedWork {
  readonly item: WorkItem;
  readonly queuedAt: number;
}

/** The order in which the waiting requests of one lane get free slots. */
export abstract class QueuePolicy {
  /** Number of requests that wait. */
  abstract readonly size: number;

  /** Adds a request. */
  abstract push(work: QueuedWork): void;

  /** The request that is next, without taking it. */
  abstract peek(now: number): QueuedWork | undefined;

  /** Takes the request that is next. */
  abstract pop(now: number): QueuedWork | undefined;

  /** Takes out a request wherever it stands; false where it does not wait. */
  abstract remove(requestId: string): boolean;
}

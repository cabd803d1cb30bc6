import type {WorkClass, WorkItem} from './work.js';

/** A request that waits, and since when. */
export interface QueuedWork {
  readonly item: WorkItem;
  readonly queuedAt: number;
}

/** An amount of work, from which its time at an endpoint can be computed. */
export interface Backlog {
  readonly requests: number;
  /** The sum of the most tokens they may generate. */
  readonly outputTokens: number;
}

export const NO_BACKLOG: Backlog = {requests: 0, outputTokens: 0};

/** The order in which the waiting requests of one lane get free slots. */
export abstract class QueuePolicy {
  /** Number of requests that wait. */
  abstract readonly size: number;

  /** True where work with precedence waits. */
  abstract readonly precedenceWaits: boolean;

  /** True where batch work waits that lately had less than its guaranteed share. */
  abstract readonly owesBatch: boolean;

  /** Number of requests of a class that wait. */
  abstract sizeOf(workClass: WorkClass): number;

  /** Whether the request goes before ordinary work that waits. */
  abstract hasPrecedence(item: WorkItem): boolean;

  /** Whether a newcomer may take a free slot past those that wait. */
  abstract mayOvertake(item: WorkItem): boolean;

  /** Adds a request. */
  abstract push(work: QueuedWork): void;

  /** The request that is next, without taking it. */
  abstract peek(): QueuedWork | undefined;

  /** Takes out a request wherever it stands; false where it does not wait. */
  abstract remove(requestId: string): boolean;

  /** A request got a slot; its organisation is charged what it may use. */
  abstract charge(item: WorkItem): void;

  /** A charged request has ended and used so many tokens. */
  abstract settle(item: WorkItem, usedTokens: number): void;

  /** What would run before the request if it were added now. */
  abstract ahead(item: WorkItem): Backlog;
}

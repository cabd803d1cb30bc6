import type {WorkClass, WorkItem} from './work.js';

/** A queued request, with the time at which it was queued. */
export interface QueuedWork {
  readonly item: WorkItem;
  readonly queuedAt: number;
}

/** An amount of work, from which its processing time can be estimated. */
export interface Backlog {
  readonly requests: number;
  /** Sum of the maximum output tokens of the requests. */
  readonly outputTokens: number;
}

export const NO_BACKLOG: Backlog = {requests: 0, outputTokens: 0};

/**
 * Determines the order in which the queued requests of one lane get free slots.
 */
export abstract class QueuePolicy {
  /** Number of queued requests. */
  abstract readonly size: number;

  /** True while a request with precedence is queued. */
  abstract readonly hasPrecedenceWaiting: boolean;

  /**
   * True while queued batch work has recently received less than its guaranteed
   * share.
   */
  abstract readonly isBatchStarved: boolean;

  /** Returns the number of queued requests of a class. */
  abstract sizeOf(workClass: WorkClass): number;

  /**
   * Whether the request is served before queued requests without precedence.
   */
  abstract hasPrecedence(item: WorkItem): boolean;

  /**
   * Whether a new request may take a free slot ahead of the queued requests.
   */
  abstract mayOvertake(item: WorkItem): boolean;

  /** Adds a request. */
  abstract push(work: QueuedWork): void;

  /** Returns the next request without removing it. */
  abstract peek(): QueuedWork | undefined;

  /**
   * Removes a request from any position.
   *
   * @returns False if the request is not queued.
   */
  abstract remove(requestId: string): boolean;

  /**
   * Charges the organisation of a request that got a slot for the maximum that
   * the request may use.
   */
  abstract charge(item: WorkItem): void;

  /**
   * Settles the charge of a request that has ended with the tokens that it
   * used.
   */
  abstract settle(item: WorkItem, usedTokens: number): void;

  /**
   * Returns the work that would run before the request if it were added now.
   */
  abstract backlogAhead(item: WorkItem): Backlog;
}

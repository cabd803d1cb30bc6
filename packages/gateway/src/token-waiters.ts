/** Reason why a request got no tokens. */
export enum BudgetRefusal {
  /** Known spending leaves fewer tokens than the request may use. */
  Exhausted = 'budget-exhausted',
  /** The tokens may be held by other processes or by requests that have not ended. */
  HeldElsewhere = 'budget-held-elsewhere',
  /** The store, which is the only source of grants, does not answer. */
  StoreUnavailable = 'budget-store-away',
  /** This process is stopping and returns its grants. */
  Stopping = 'budget-stopping',
}

/** What a waiting request needs its tokens for. */
export enum TokenUse {
  /** The answer is ready and is sent to the caller once its tokens are reserved. */
  Delivery = 'delivery',
  /** The request has not been sent to any endpoint yet. */
  Dispatch = 'dispatch',
}

/** A request that waits for tokens. */
export interface TokenWaiter {
  readonly bound: number;
  readonly use: TokenUse;
  /** Called once when it leaves the queue, without a refusal if it got its tokens. */
  readonly done: (refusal: BudgetRefusal | undefined) => void;
}

/**
 * Queue of requests that wait for one organisation's tokens. Requests whose answers are
 * ready come first: their work is done, and waiting only adds latency.
 */
export class TokenWaiters {
  private readonly queue: TokenWaiter[] = [];

  /** Number of queued requests. */
  get count(): number {
    return this.queue.length;
  }

  /** Sum of the queued requests' bounds, in tokens. */
  get tokens(): number {
    return this.queue.reduce((sum, {bound}) => sum + bound, 0);
  }

  /** The next request to serve; undefined if none waits. */
  get first(): TokenWaiter | undefined {
    return this.queue[0];
  }

  /** Whether a queued request comes before a new one of this use. */
  hasWaiterBefore(use: TokenUse): boolean {
    return this.queue.some(waiter => priorityOf(waiter.use) <= priorityOf(use));
  }

  /** Queues a request behind those of the same or a higher priority. */
  add(waiter: TokenWaiter): void {
    const index = this.queue.findIndex(
      ({use}) => priorityOf(use) > priorityOf(waiter.use),
    );
    this.queue.splice(index === -1 ? this.queue.length : index, 0, waiter);
  }

  /**
   * Removes a request from the queue and notifies it; does nothing if it is not queued.
   *
   * @param refusal Undefined if the request got its tokens.
   */
  remove(waiter: TokenWaiter, refusal?: BudgetRefusal): void {
    const index = this.queue.indexOf(waiter);
    if (index >= 0) {
      this.queue.splice(index, 1);
      waiter.done(refusal);
    }
  }

  /** Refuses the requests that have not been dispatched yet. */
  refuseUndispatched(refusal: BudgetRefusal): void {
    for (const waiter of [...this.queue]) {
      if (waiter.use === TokenUse.Dispatch) {
        this.remove(waiter, refusal);
      }
    }
  }

  /** Refuses the first request, unless its answer is ready and may still get tokens. */
  refuseFirst(refusal: BudgetRefusal): void {
    const {first} = this;
    const isFinal = refusal === BudgetRefusal.Exhausted;
    if (first !== undefined && (isFinal || first.use === TokenUse.Dispatch)) {
      this.remove(first, refusal);
    }
  }
}

function priorityOf(use: TokenUse): number {
  return use === TokenUse.Delivery ? 0 : 1;
}

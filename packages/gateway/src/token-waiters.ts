/** Why a request got no tokens. */
export enum BudgetRefusal {
  /** What is known to be spent leaves less than the request may use. */
  Exhausted = 'budget-exhausted',
  /** The rest may be held elsewhere, or by requests that have not ended. */
  HeldElsewhere = 'budget-held-elsewhere',
  /** The store, which alone gives grants, does not answer. */
  StoreUnavailable = 'budget-store-away',
  /** This process stops and has handed its grants back. */
  Stopping = 'budget-stopping',
}

/** What a request waits for. */
export enum TokenUse {
  /** An answer is ready, and is passed on once its tokens are there. */
  Delivery = 'delivery',
  /** It was sent to no endpoint yet. */
  Dispatch = 'dispatch',
}

/** A request that waits for tokens. */
export interface TokenWaiter {
  readonly bound: number;
  readonly use: TokenUse;
  /** Called once, when it leaves the line; undefined where it got its tokens. */
  readonly done: (refusal: BudgetRefusal | undefined) => void;
}

/**
 * Requests that wait for one organisation's tokens, those first whose answers are
 * ready: their work is done, and each further moment makes them late.
 */
export class TokenWaiters {
  private readonly queue: TokenWaiter[] = [];

  /** Requests in line. */
  get count(): number {
    return this.queue.length;
  }

  /** The most that they can use, together. */
  get tokens(): number {
    return this.queue.reduce((sum, {bound}) => sum + bound, 0);
  }

  /** The next to be served. */
  get first(): TokenWaiter | undefined {
    return this.queue[0];
  }

  /** Whether one is in line that goes before a new one of this use. */
  hasWaiterBefore(use: TokenUse): boolean {
    return this.queue.some(waiter => priorityOf(waiter.use) <= priorityOf(use));
  }

  /** Puts one behind those that go before it. */
  add(waiter: TokenWaiter): void {
    const behind = this.queue.findIndex(
      ({use}) => priorityOf(use) > priorityOf(waiter.use),
    );
    this.queue.splice(behind === -1 ? this.queue.length : behind, 0, waiter);
  }

  /**
   * Takes one out of the line and tells it; nothing happens where it has left.
   *
   * @param refusal Undefined where it got its tokens.
   */
  remove(waiter: TokenWaiter, refusal?: BudgetRefusal): void {
    const index = this.queue.indexOf(waiter);
    if (index >= 0) {
      this.queue.splice(index, 1);
      waiter.done(refusal);
    }
  }

  /** Refuses those that were sent nowhere yet. */
  refuseUndispatched(refusal: BudgetRefusal): void {
    for (const waiter of [...this.queue]) {
      if (waiter.use === TokenUse.Dispatch) {
        this.remove(waiter, refusal);
      }
    }
  }

  /** Refuses the first, unless an answer is ready that may still get its tokens. */
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

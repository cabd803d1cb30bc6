interface TimedAction {
  readonly at: number;
  readonly order: number;
  readonly run: (now: number) => void;
}

/**
 * A discrete-event scheduler: runs actions in the order of their time on a virtual
 * clock.
 */
export class Timeline {
  private readonly heap: TimedAction[] = [];
  private nextOrder = 0;
  private currentTime = 0;

  get now(): number {
    return this.currentTime;
  }

  schedule(at: number, run: (now: number) => void): void {
    const action = {
      at: Math.max(at, this.currentTime),
      order: this.nextOrder++,
      run,
    };
    let position = this.heap.length;
    this.heap.push(action);
    while (position > 0) {
      const parent = (position - 1) >> 1;
      const above = this.heap[parent];
      if (above === undefined || !isBefore(action, above)) {
        break;
      }
      this.heap[position] = above;
      position = parent;
    }
    this.heap[position] = action;
  }

  /** Runs all actions up to and including a time, and advances the clock to it. */
  runUntil(end: number): void {
    for (;;) {
      const first = this.heap[0];
      if (first === undefined || first.at > end) {
        this.currentTime = end;
        return;
      }
      this.removeFirst();
      this.currentTime = first.at;
      first.run(first.at);
    }
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) {
      return;
    }
    let position = 0;
    for (;;) {
      const left = 2 * position + 1;
      const leftAction = this.heap[left];
      const rightAction = this.heap[left + 1];
      if (leftAction === undefined) {
        break;
      }
      const isRight =
        rightAction !== undefined && isBefore(rightAction, leftAction);
      const smallest = isRight ? rightAction : leftAction;
      if (!isBefore(smallest, last)) {
        break;
      }
      this.heap[position] = smallest;
      position = isRight ? left + 1 : left;
    }
    this.heap[position] = last;
  }
}

function isBefore(left: TimedAction, right: TimedAction): boolean {
  return left.at === right.at ? left.order < right.order : left.at < right.at;
}

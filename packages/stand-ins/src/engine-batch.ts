import {EngineAttempt, type AttemptWork} from './engine-attempt.js';

/**
 * Continuous batching: each step advances every running attempt by one token. A free
 * slot is assigned at once to the waiting attempt with the lowest priority number, in
 * order of arrival among equals.
 */
export class EngineBatch {
  private readonly running = new Set<EngineAttempt>();
  private waiting: EngineAttempt[] = [];
  private arrivals = 0;

  constructor(
    private readonly slots: number,
    private readonly maximumWaiting: number,
  ) {}

  /** Adds an attempt. Returns undefined if all slots and the queue are full. */
  add(work: AttemptWork): EngineAttempt | undefined {
    if (
      this.running.size >= this.slots &&
      this.waiting.length >= this.maximumWaiting
    ) {
      return undefined;
    }
    const attempt = new EngineAttempt(work, this.arrivals++);
    this.waiting.push(attempt);
    this.fillSlots();
    return attempt;
  }

  /** Runs one step of every running attempt. */
  step(): void {
    for (const attempt of this.running) {
      attempt.step();
    }
    this.removeFinished();
  }

  /** Cancels an attempt and frees its slot. */
  cancel(attempt: EngineAttempt): void {
    attempt.cancel();
    this.removeFinished();
  }

  /** Number of attempts that occupy a slot. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Number of attempts that wait for a slot. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  private removeFinished(): void {
    for (const attempt of [...this.running]) {
      if (attempt.finished) {
        this.running.delete(attempt);
      }
    }
    this.waiting = this.waiting.filter(attempt => !attempt.finished);
    this.fillSlots();
  }

  private fillSlots(): void {
    while (this.running.size < this.slots && this.waiting.length > 0) {
      const [first] = this.waiting.sort(
        (one, other) =>
          one.work.priority - other.work.priority ||
          one.arrival - other.arrival,
      );
      if (first !== undefined) {
        this.waiting.shift();
        this.running.add(first);
      }
    }
  }
}

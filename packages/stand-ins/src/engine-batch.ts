import {EngineAttempt, type AttemptWork} from './engine-attempt.js';

/**
 * Continuous batching: each step gives one token to every running attempt, and a
 * slot that becomes free is taken at once by the waiting attempt of the lowest
 * priority number, the first come first among equals.
 */
export class EngineBatch {
  private readonly running = new Set<EngineAttempt>();
  private waiting: EngineAttempt[] = [];
  private arrivals = 0;

  constructor(
    private readonly slots: number,
    private readonly maximumWaiting: number,
  ) {}

  /** Takes an attempt up, or returns undefined where too many wait. */
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

  /** One step for every running attempt. */
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

  /** Attempts that hold a slot. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Attempts that wait for one. */
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

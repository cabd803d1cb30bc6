import type {QueuePolicy} from './queue-policy.js';
import {WorkClass} from './work.js';

/**
 * A queue is standing if it has not been empty for longer than this, in
 * milliseconds. Shorter queues are bursts, which the time until the deadline
 * can absorb. According to the measurements `decisions-saturation` and
 * `decisions-burst`, 1 s makes the p99 at 1.5 times capacity miss its goal, and
 * 0.1 s refuses more of a burst.
 */
const STANDING_AFTER_MILLISECONDS = 300;

/** Distinguishes bursts from overload, for each class of work. */
export class StandingQueue {
  private readonly lastEmptyAt = new Map<WorkClass, number>([
    [WorkClass.Interactive, 0],
    [WorkClass.Batch, 0],
  ]);

  constructor(private readonly queue: QueuePolicy) {}

  /** Must be called whenever a request is queued or removed from the queue. */
  observe(now: number): void {
    for (const workClass of this.lastEmptyAt.keys()) {
      if (this.queue.sizeOf(workClass) === 0) {
        this.lastEmptyAt.set(workClass, now);
      }
    }
  }

  isOverloaded(workClass: WorkClass, now: number): boolean {
    const lastEmptyAt = this.lastEmptyAt.get(workClass) ?? now;
    return (
      this.queue.sizeOf(workClass) > 0 &&
      now - lastEmptyAt > STANDING_AFTER_MILLISECONDS
    );
  }
}

import type {QueuePolicy} from './queue-policy.js';
import {WorkClass} from './work.js';

/**
 * A queue that has not been empty for this long is standing. Shorter ones are
 * bursts, which the time until the deadline may absorb. By the measurements
 * `decisions-saturation` and `decisions-burst`: at 1 s the p99 at 1.5 times
 * capacity misses its goal; at 0.1 s more of a burst is refused.
 */
const STANDING_AFTER_MILLISECONDS = 300;

/** Tells a burst from an overload, for each class of work. */
export class StandingQueue {
  private readonly lastEmptyAt = new Map<WorkClass, number>([
    [WorkClass.Interactive, 0],
    [WorkClass.Batch, 0],
  ]);

  constructor(private readonly queue: QueuePolicy) {}

  /** Has to be called whenever work was queued or taken. */
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

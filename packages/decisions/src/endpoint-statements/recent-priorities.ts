/** Time after which a priority that no request has had is forgotten, milliseconds. */
const MEMORY_MILLISECONDS = 5_000;

/**
 * Tells whether a host has had more urgent requests of late, for which others leave
 * what there is too little of. A priority is from 0, the most urgent, to 9.
 *
 * @example
 * ```ts
 * const priorities = new RecentPriorities();
 * priorities.requested(0, now);
 * priorities.hasMoreUrgent(3, now + 1_000); // true
 * ```
 */
export class RecentPriorities {
  private readonly requestedAt = new Map<number, number>();

  /** @param now Monotonic clock, milliseconds. */
  requested(priority: number, now: number): void {
    this.requestedAt.set(priority, now);
  }

  /** @param now Monotonic clock, milliseconds. */
  hasMoreUrgent(priority: number, now: number): boolean {
    return [...this.requestedAt].some(
      ([other, at]) => other < priority && now - at < MEMORY_MILLISECONDS,
    );
  }
}

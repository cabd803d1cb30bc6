/** Time after which one more place is tried, milliseconds. */
const GROWTH_MILLISECONDS = 1_000;

/**
 * The room of an endpoint that refuses requests although it runs fewer than it says: long
 * prompts fill its memory, or connections hold places. It has room for what it ran then,
 * and for one more request with each second. All times are on the monotonic clock.
 */
export class LearnedRoom {
  private places = Infinity;
  private refusedAt = -Infinity;

  /**
   * Records that the endpoint refused a request.
   *
   * @param running Requests that it ran then.
   */
  refused(running: number, now: number): void {
    this.places = Math.max(1, Math.min(running, this.placesAt(now)));
    this.refusedAt = now;
  }

  /** Requests that it can run at once; infinite if it has refused none. */
  placesAt(now: number): number {
    const grown = Math.floor((now - this.refusedAt) / GROWTH_MILLISECONDS);
    return this.places === Infinity ? Infinity : this.places + grown;
  }
}

/** Weight of the newest time in the mean. */
const NEWEST_WEIGHT = 0.1;

/**
 * Expects how long requests wait for a place, from how long others have kept theirs, so
 * that one that would come too late is refused when it arrives.
 *
 * @example
 * ```ts
 * const wait = new PlaceWait();
 * wait.placeFreed(150);
 * wait.expectedMilliseconds(3, 2); // 300
 * ```
 */
export class PlaceWait {
  private mean: number | undefined;

  /** Mean time for which a request has its place, milliseconds; 0 before the first. */
  get usualMilliseconds(): number {
    return this.mean ?? 0;
  }

  /** Records that a request gave its place back after this time, milliseconds. */
  placeFreed(milliseconds: number): void {
    this.mean =
      this.mean === undefined
        ? milliseconds
        : this.mean + NEWEST_WEIGHT * (milliseconds - this.mean);
  }

  /**
   * Time until a request has a place, milliseconds.
   *
   * @param ahead Requests that have theirs before it.
   * @param places Places of this host.
   */
  expectedMilliseconds(ahead: number, places: number): number {
    return (this.usualMilliseconds * (ahead + 1)) / Math.max(1, places);
  }
}

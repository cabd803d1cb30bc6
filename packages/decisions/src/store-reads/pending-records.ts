/** An end offset of a topic, and when it became known. */
interface KnownEnd {
  readonly end: number;
  /** Monotonic clock, milliseconds. */
  readonly since: number;
}

/**
 * Records of a topic that are known to exist but have not been delivered. Answers versions
 * in quick succession: a host that is never quite done is not behind for as long as it has
 * been reading, but for as long as it has known of the oldest record that it lacks.
 *
 * @example
 * ```ts
 * pending.learned(7, 1_000);
 * pending.learned(9, 1_400);
 * pending.delivered(7);
 * pending.since; // 1_400
 * ```
 */
export class PendingRecords {
  private readonly ends: KnownEnd[] = [];

  /** Since when the oldest of them has been known; undefined without any. */
  get since(): number | undefined {
    return this.ends[0]?.since;
  }

  /**
   * Records that the topic has records before an offset.
   *
   * @param now Monotonic clock, milliseconds.
   */
  learned(end: number, now: number): void {
    if (end > (this.ends.at(-1)?.end ?? -1)) {
      this.ends.push({end, since: now});
    }
  }

  /** Records that all records before an offset were delivered. */
  delivered(position: number): void {
    while ((this.ends[0]?.end ?? Infinity) <= position) {
      this.ends.shift();
    }
  }
}

/** Time in which a count falls to 1/e, milliseconds. */
const MEMORY_MILLISECONDS = 10_000;
/** Requests with one part at one endpoint, in times an endpoint's even share of all. */
const MAXIMUM_SHARES_PER_HOME = 2;
/** Parts that are counted; the one that was least recently used is forgotten. */
const MAXIMUM_PARTS = 1_024;

/** A count that falls exponentially. */
class DecayingCount {
  private count = 0;
  private at = -Infinity;

  valueAt(now: number): number {
    return this.count * Math.exp((this.at - now) / MEMORY_MILLISECONDS);
  }

  add(now: number): void {
    this.count = this.valueAt(now) + 1;
    this.at = now;
  }
}

/**
 * Counts this host's recent requests by shared prompt part. Answers a long part that
 * many requests suddenly share: its home would get all of them from all hosts, although
 * each host sees few. The hosts' callers are alike, so that a part's share of this
 * host's requests stands for its share of the fleet's, whatever the number of hosts is.
 *
 * @example
 * ```ts
 * const homes = popularity.homesOf('scenario-7', 40, now); // 1 while it is rare
 * popularity.record('scenario-7', now);
 * ```
 */
export class PartPopularity {
  private readonly all = new DecayingCount();
  private readonly parts = new Map<string, DecayingCount>();

  /**
   * Number of endpoints that should share the requests with a part, from 1 to the
   * number of endpoints.
   *
   * @param now Monotonic clock, milliseconds.
   */
  homesOf(part: string, endpoints: number, now: number): number {
    const count = this.parts.get(part)?.valueAt(now) ?? 0;
    const total = Math.max(1, this.all.valueAt(now));
    const homes = (count / total) * (endpoints / MAXIMUM_SHARES_PER_HOME);
    return Math.max(1, Math.min(endpoints, Math.ceil(homes)));
  }

  /** Records a request of the service; the part is undefined if it shares none. */
  record(part: string | undefined, now: number): void {
    this.all.add(now);
    if (part === undefined) {
      return;
    }
    const count = this.parts.get(part) ?? new DecayingCount();
    count.add(now);
    this.parts.delete(part);
    this.parts.set(part, count);
    const [oldest] = this.parts.keys();
    if (oldest !== undefined && this.parts.size > MAXIMUM_PARTS) {
      this.parts.delete(oldest);
    }
  }
}

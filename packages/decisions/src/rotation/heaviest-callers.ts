/** Length of the two periods in which requests are counted, in milliseconds. */
const PERIOD_MILLISECONDS = 2_500;
/** Callers that are counted separately in a period; the rest is counted together. */
const MAXIMUM_CALLERS = 1_024;
const OTHER_CALLERS = '';

/**
 * Chooses whose connections a host closes while it is out of the rotation: those
 * of the heaviest callers first. This applies when one organisation saturates a
 * host: closing connections of light callers costs them a connect and leaves the
 * load where it is.
 *
 * @example
 * ```ts
 * callers.record(organisation, now);
 * if (callers.closes(organisation, 0.25, random.fraction(), now)) close();
 * ```
 */
export class HeaviestCallers {
  private startedAt = -Infinity;
  private current = new Map<string, number>();
  private previous = new Map<string, number>();

  /**
   * Records a request.
   *
   * @param caller Organisation or other name of the caller.
   * @param now Monotonic clock, in milliseconds.
   */
  record(caller: string, now: number): void {
    this.advance(now);
    const isCounted =
      this.current.has(caller) || this.current.size < MAXIMUM_CALLERS;
    const key = isCounted ? caller : OTHER_CALLERS;
    this.current.set(key, (this.current.get(key) ?? 0) + 1);
  }

  /**
   * Decides whether an answer to this caller closes its connection.
   *
   * @param share Share of all answers that close their connections.
   * @param fraction Random number from 0 to below 1.
   * @param now Monotonic clock, in milliseconds.
   */
  closes(
    caller: string,
    share: number,
    fraction: number,
    now: number,
  ): boolean {
    if (share <= 0 || share >= 1) {
      return share >= 1;
    }
    this.advance(now);
    const own = this.countOf(caller);
    if (own === 0) {
      return this.total === 0 && fraction < share;
    }
    return (
      fraction < (share * this.total - this.heavierThan(caller, own)) / own
    );
  }

  private get total(): number {
    return [...this.current.values(), ...this.previous.values()].reduce(
      (sum, count) => sum + count,
      0,
    );
  }

  /** Requests of all callers that come before this one. */
  private heavierThan(caller: string, own: number): number {
    let sum = 0;
    for (const other of new Set([
      ...this.current.keys(),
      ...this.previous.keys(),
    ])) {
      const count = this.countOf(other);
      if (count > own || (count === own && other < caller)) {
        sum += count;
      }
    }
    return sum;
  }

  private countOf(caller: string): number {
    return (this.current.get(caller) ?? 0) + (this.previous.get(caller) ?? 0);
  }

  private advance(now: number): void {
    if (now - this.startedAt < PERIOD_MILLISECONDS) {
      return;
    }
    const isRecent = now - this.startedAt < 2 * PERIOD_MILLISECONDS;
    this.previous = isRecent ? this.current : new Map<string, number>();
    this.current = new Map();
    this.startedAt = now;
  }
}

/** How long a round of loans that did not serve its request prevents further ones. */
const PAUSE_MILLISECONDS = 1_000;

/**
 * Limits rounds of loans that serve no request. A round asks several hosts, and costs
 * each of them one to two milliseconds of processor time. Without a limit, the requests
 * that are refused for an organisation without tokens take half of the processor time of
 * all hosts.
 *
 * @example
 * ```ts
 * if (!backoff.isFruitless(shortfall, now)) {
 *   await borrow(shortfall);
 * }
 * ```
 */
export class LoanBackoff {
  private shortfall = Infinity;
  private until = -Infinity;

  /**
   * Whether no lender is expected to have enough. Tokens freed at this host make the
   * shortfall of a request smaller than the one that could not be borrowed.
   *
   * @param shortfall Tokens that a request lacks.
   * @param now Monotonic time, milliseconds.
   */
  isFruitless(shortfall: number, now: number): boolean {
    return now < this.until && shortfall >= this.shortfall;
  }

  /**
   * Records the end of a round.
   *
   * @param shortfall Tokens that the first waiting request still lacks; 0 if none.
   * @param now Monotonic time, milliseconds.
   */
  recordRound(shortfall: number, now: number): void {
    if (shortfall > 0) {
      this.shortfall = shortfall;
      this.until = now + PAUSE_MILLISECONDS;
    } else {
      this.reset();
    }
  }

  /** Permits rounds again, because the store or a host has granted tokens. */
  reset(): void {
    this.until = -Infinity;
  }
}

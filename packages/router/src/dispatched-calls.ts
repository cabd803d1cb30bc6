/**
 * Calls remembered. At a few of them a second a router remembers a day's; each
 * takes about a hundred bytes.
 */
const MAXIMUM_REMEMBERED = 100_000;

/**
 * The non-idempotent calls that this router ever dispatched. It is the one word
 * on whether a claim that it holds was used, so it never says "never" of a call
 * that it may have forgotten.
 */
export class DispatchedCalls {
  private readonly requestIds = new Set<string>();
  private forgot = false;

  constructor(private readonly maximum = MAXIMUM_REMEMBERED) {}

  /** Notes a call before its first byte leaves. */
  add(requestId: string): void {
    this.requestIds.add(requestId);
    const [oldest] = this.requestIds;
    if (this.requestIds.size > this.maximum && oldest !== undefined) {
      this.requestIds.delete(oldest);
      this.forgot = true;
    }
  }

  /** True only where this router certainly never dispatched the call. */
  isUnused(requestId: string): boolean {
    return !this.forgot && !this.requestIds.has(requestId);
  }
}

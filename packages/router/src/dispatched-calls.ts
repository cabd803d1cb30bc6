/**
 * Maximum number of recorded calls. At a few calls a second this covers about a
 * day; each entry takes about 100 bytes.
 */
const MAXIMUM_CALLS = 100_000;

/**
 * Records the non-idempotent calls that this router has dispatched. It is the
 * only evidence of whether a claim of this router was used, so after the first
 * eviction no call is reported as never dispatched.
 */
export class DispatchedCalls {
  private readonly requestIds = new Set<string>();
  private hasEvicted = false;

  constructor(private readonly maximumCalls = MAXIMUM_CALLS) {}

  /** Records a call; must run before the call's first byte is sent. */
  add(requestId: string): void {
    this.requestIds.add(requestId);
    const [oldest] = this.requestIds;
    if (this.requestIds.size > this.maximumCalls && oldest !== undefined) {
      this.requestIds.delete(oldest);
      this.hasEvicted = true;
    }
  }

  /** Returns true only if this router certainly never dispatched the call. */
  wasNeverDispatched(requestId: string): boolean {
    return !this.hasEvicted && !this.requestIds.has(requestId);
  }
}

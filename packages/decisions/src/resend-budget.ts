/** The fleet's bound on resends to one service. */
export interface ResendLimits {
  /** Resends for each request. */
  readonly ratio: number;
  /** Resends in one window beyond the ratio, over all hosts. */
  readonly extra: number;
  readonly windowMilliseconds: number;
}

/**
 * This part of the bound is used. Hosts see different windows, and a resend may
 * reach the endpoint in a later window than the one it was counted in.
 */
const USED_PART = 0.85;

/**
 * One host's share of the fleet's bound on resends to one service. Load: an
 * endpoint fails, and each of its requests could be sent again by its host and by
 * its caller. Harm: resends multiply the load on the endpoints that are left.
 */
export class ResendBudget {
  private readonly requests: number[] = [];
  private readonly resends: number[] = [];

  constructor(private readonly limits: ResendLimits) {}

  /** A caller's request for the service arrived. */
  requested(now: number): void {
    this.requests.push(now);
    this.forget(now);
  }

  /**
   * Takes leave for one resend; false where none is left.
   *
   * @param hosts Hosts that share the bound.
   */
  take(hosts: number, now: number): boolean {
    this.forget(now);
    const {ratio, extra} = this.limits;
    const allowed =
      ratio * this.requests.length + Math.floor(extra / Math.max(1, hosts));
    if (this.resends.length + 1 > USED_PART * allowed) {
      return false;
    }
    this.resends.push(now);
    return true;
  }

  private forget(now: number): void {
    const oldest = now - this.limits.windowMilliseconds;
    dropBefore(this.requests, oldest);
    dropBefore(this.resends, oldest);
  }
}

function dropBefore(times: number[], oldest: number): void {
  const kept = times.findIndex(time => time >= oldest);
  times.splice(0, kept === -1 ? times.length : kept);
}

/** Fleet-wide limit on resends to one service. */
export interface ResendLimits {
  /** Maximum number of resends per request. */
  readonly resendsPerRequest: number;
  /** Additional resends per window, over all hosts. */
  readonly extraResends: number;
  readonly windowMilliseconds: number;
}

/**
 * Share of the limit that is used. Hosts have different windows, and a resend
 * may reach the endpoint in a later window than the one in which it was
 * counted.
 */
const USED_SHARE = 0.85;

/**
 * One host's share of the fleet-wide limit on resends to one service. When an
 * endpoint fails, each of its requests could be sent again by its host and by
 * its caller, and the resends would multiply the load on the remaining
 * endpoints.
 */
export class ResendBudget {
  private readonly requestTimes: number[] = [];
  private readonly resendTimes: number[] = [];

  constructor(private limits: ResendLimits) {}

  /** Replaces the limits; past requests and resends count on. */
  setLimits(limits: ResendLimits): void {
    this.limits = limits;
  }

  /** Records a request of a caller to the service. */
  recordRequest(now: number): void {
    this.requestTimes.push(now);
    this.dropExpired(now);
  }

  /**
   * Takes one resend from the budget.
   *
   * @param hosts Number of hosts that share the limit; undefined if it is not known.
   *     The host then takes no part of the extra resends.
   * @returns False if the budget is exhausted.
   */
  tryTake(hosts: number | undefined, now: number): boolean {
    this.dropExpired(now);
    const {resendsPerRequest: ratio, extraResends: extra} = this.limits;
    const extraShare =
      hosts === undefined ? 0 : Math.floor(extra / Math.max(1, hosts));
    const allowed = ratio * this.requestTimes.length + extraShare;
    if (this.resendTimes.length + 1 > USED_SHARE * allowed) {
      return false;
    }
    this.resendTimes.push(now);
    return true;
  }

  /** Gives back a resend that was taken and not used. */
  giveBack(): void {
    this.resendTimes.pop();
  }

  private dropExpired(now: number): void {
    const oldest = now - this.limits.windowMilliseconds;
    dropBefore(this.requestTimes, oldest);
    dropBefore(this.resendTimes, oldest);
  }
}

function dropBefore(times: number[], oldest: number): void {
  const kept = times.findIndex(time => time >= oldest);
  times.splice(0, kept === -1 ? times.length : kept);
}

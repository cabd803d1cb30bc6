/** The arrival of a request, as far as fairness is concerned. */
export interface FairArrival {
  readonly organisation: string;
  readonly weight: number;
  readonly isReturning: boolean;
}

interface KeptArrival extends FairArrival {
  readonly at: number;
}

/** Arrivals that a division rests on, and how old they may be. */
const MAXIMUM_ARRIVALS = 64;
const KEPT_MILLISECONDS = 4_000;

/**
 * Divides what a host sends between organisations by their weights, and gives callers
 * that come back precedence. Answers an organisation at several times its usage: what
 * it sends beyond its part is refused before the requests of others.
 */
export class FairShares {
  private arrivals: KeptArrival[] = [];

  /** Records the arrival of a request. */
  arrived(arrival: FairArrival, at: number): void {
    const {organisation, weight, isReturning} = arrival;
    this.arrivals.push({organisation, weight, isReturning, at});
    if (this.arrivals.length > MAXIMUM_ARRIVALS) {
      this.arrivals.shift();
    }
  }

  /**
   * Returns the part of such requests that is sent, 0 to 1.
   *
   * @param share Part of all requests that is sent.
   * @example
   * ```ts
   * shares.shareOf({organisation: 'school', weight: 1, isReturning: false}, 0.4, now);
   * ```
   */
  shareOf(request: FairArrival, share: number, now: number): number {
    this.arrivals = this.arrivals.filter(
      ({at}) => now - at <= KEPT_MILLISECONDS,
    );
    const {arrivals} = this;
    if (share <= 0 || share >= 1 || arrivals.length === 0) {
      return share;
    }
    const returning = arrivals.filter(arrival => arrival.isReturning);
    const capacity = share * arrivals.length;
    if (request.isReturning) {
      return partOf(request, returning, Math.min(capacity, returning.length));
    }
    const first = arrivals.filter(arrival => !arrival.isReturning);
    return partOf(request, first, Math.max(0, capacity - returning.length));
  }
}

/** The part of an organisation's requests in a max-min fair division by weight. */
function partOf(
  {organisation}: FairArrival,
  arrivals: readonly FairArrival[],
  capacity: number,
): number {
  const flows = new Map<string, {count: number; weight: number}>();
  for (const {organisation: name, weight} of arrivals) {
    const count = (flows.get(name)?.count ?? 0) + 1;
    flows.set(name, {count, weight});
  }
  const own = flows.get(organisation);
  if (own === undefined) {
    return Math.min(1, capacity / Math.max(1, arrivals.length));
  }
  const ordered = [...flows.values()].sort(
    (one, other) => one.count / one.weight - other.count / other.weight,
  );
  let left = capacity;
  let weights = ordered.reduce((sum, {weight}) => sum + weight, 0);
  for (const flow of ordered) {
    const fair = (left * flow.weight) / weights;
    const given = Math.min(flow.count, fair);
    if (flow === own) {
      return given / flow.count;
    }
    left -= given;
    weights -= flow.weight;
  }
  return 0;
}

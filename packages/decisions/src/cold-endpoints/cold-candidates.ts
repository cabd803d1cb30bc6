/** What is known of an endpoint's warmth when a request is placed. */
export interface WarmthOfCandidate {
  /** False if the endpoint should receive nothing while another one is available. */
  readonly isAvailable: boolean;
  readonly isCold: boolean;
  /** Whether nothing listened there, so that only a request shows that it is back. */
  readonly needsTrial: boolean;
  /** Whether this host may send a request to it although it is cold. */
  readonly hasTurn: boolean;
}

/**
 * Returns the candidates for a request. Answers endpoints that come back cold while
 * others are idle: they look like the least loaded ones to every host. As long as a
 * warm endpoint is available, cold ones get no more than trials; without one, each
 * gets what it bears and the rest is refused.
 */
export function withoutColdEndpoints<Candidate extends WarmthOfCandidate>(
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const warm = candidates.filter(({isCold}) => !isCold);
  if (warm.length === candidates.length) {
    return candidates;
  }
  const bearing = candidates.filter(({isCold, hasTurn}) => isCold && hasTurn);
  return warm.some(({isAvailable}) => isAvailable)
    ? [...warm, ...bearing.filter(({needsTrial}) => needsTrial)]
    : bearing;
}

import murmurhash from 'murmurhash';

/** One endpoint among which to choose. */
export interface PlacementCandidate {
  readonly id: string;
  readonly dataCenter: string;
  readonly slots: number;
  /** Requests of this host that it works on. */
  readonly load: number;
  /** Gets nothing while any other candidate is trusted. */
  readonly isTrusted: boolean;
}

/** What of a request matters for its place. */
export interface PlacementRequest {
  /**
   * Identifier of the last prompt part that other requests share; undefined where
   * nothing is shared.
   */
  readonly sharedPart: string | undefined;
  readonly dataCenter: string;
  /** Endpoints that failed it before. */
  readonly avoided: ReadonlySet<string>;
}

/**
 * An endpoint above this times the mean load, and two, is passed over. Load: one
 * scenario's prompt is in a third of the requests. Harm: its home endpoint would
 * get them all, and its streams slow down while others idle.
 */
const LOAD_BOUND = 1.5;
const LOAD_ALLOWANCE = 2;

/**
 * A plain request leaves its data centre when the local endpoint is busier by this
 * much of its slots: bytes between data centres are dear and the trip costs about
 * 2 ms of the some 40 ms of work.
 */
const REMOTE_PENALTY = 0.5;

/**
 * The endpoint for a request, or undefined where there is none.
 *
 * Requests that share a prompt part go to the endpoint that rendezvous hashing
 * names for it (Thaler and Ravishankar, 1998), within a bound on its load (Mirrokni,
 * Thorup and Zadimoghaddam, 2018): all hosts agree without a message, and only the
 * parts of an endpoint that leaves move.
 */
export function placeRequest(
  request: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): PlacementCandidate | undefined {
  const usable = preferred(
    preferred(candidates, candidate => !request.avoided.has(candidate.id)),
    candidate => candidate.isTrusted,
  );
  return request.sharedPart === undefined
    ? leastLoaded(request, usable)
    : homeOf(request.sharedPart, usable);
}

/** Those that fit, or all where none does. */
function preferred(
  candidates: readonly PlacementCandidate[],
  fits: (candidate: PlacementCandidate) => boolean,
): readonly PlacementCandidate[] {
  const fitting = candidates.filter(fits);
  return fitting.length > 0 ? fitting : candidates;
}

function homeOf(
  part: string,
  candidates: readonly PlacementCandidate[],
): PlacementCandidate | undefined {
  const total = candidates.reduce((sum, {load}) => sum + load, 0);
  const bound = (LOAD_BOUND * total) / candidates.length + LOAD_ALLOWANCE;
  const withinBound = candidates.filter(({load}) => load <= bound);
  return maximum(withinBound, ({id}) => murmurhash.v3(`${part} ${id}`));
}

function leastLoaded(
  request: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): PlacementCandidate | undefined {
  return maximum(candidates, candidate => {
    const isRemote = candidate.dataCenter !== request.dataCenter;
    return -(
      candidate.load / candidate.slots +
      (isRemote ? REMOTE_PENALTY : 0)
    );
  });
}

function maximum(
  candidates: readonly PlacementCandidate[],
  value: (candidate: PlacementCandidate) => number,
): PlacementCandidate | undefined {
  let best: PlacementCandidate | undefined;
  let bestValue = -Infinity;
  for (const candidate of candidates) {
    const candidateValue = value(candidate);
    if (candidateValue > bestValue) {
      best = candidate;
      bestValue = candidateValue;
    }
  }
  return best;
}

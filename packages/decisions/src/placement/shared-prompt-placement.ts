import murmurhash from 'murmurhash';

import {
  ExpectedCost,
  goalOf,
  ServiceSpeed,
  type CostCandidate,
  type RequestCost,
} from '../balancing/index.js';

/** An endpoint that can be chosen. */
export interface PlacementCandidate extends CostCandidate {
  readonly id: string;
  /**
   * False if the endpoint should receive nothing while any other candidate is
   * available.
   */
  readonly isAvailable: boolean;
}

/** Properties of a request that determine its placement. */
export interface PlacementRequest {
  /**
   * Identifier of the last prompt part that other requests share; undefined if
   * no part is shared.
   */
  readonly sharedPart: string | undefined;
  /** Tokens of all parts that other requests share. */
  readonly sharedTokens: number;
  /** Number of endpoints that share the requests with the part; at least 1. */
  readonly homes: number;
  readonly dataCenter: string;
  /** Endpoints that already failed the request. */
  readonly avoided: ReadonlySet<string>;
  /** Random number from 0 to below 1, which chooses among equal endpoints. */
  readonly fraction: number;
  /** Undefined if nothing is known of the service. */
  readonly cost?: RequestCost | undefined;
  /** Undefined where endpoints don't fetch parts from each other. */
  readonly fetch?: FetchableParts | undefined;
}

/** What is known of fetching a request's shared parts from their home. */
export interface FetchableParts {
  /** Time for all of them, milliseconds. */
  readonly milliseconds: number;
  /** Probability that their home has them in its cache, from 0 to 1. */
  readonly heldShare: number;
}

/** Where an endpoint gets the key-value cache of a request's shared parts. */
export enum PartSource {
  /** It has no long ones. */
  None = 'none',
  /** It is their home. */
  Home = 'home',
  /** It fetches them from their home. */
  Fetched = 'fetched',
  /** It reads them again. */
  Read = 'read',
}

/** The endpoint of a request, and what is expected of it. */
export interface Placement<Candidate> {
  readonly candidate: Candidate;
  /** Endpoint that is named as the source of the shared parts. */
  readonly fetchFrom: Candidate | undefined;
  readonly source: PartSource;
  /** Prompt tokens that it has to read, as far as known. */
  readonly tokens: number;
  /** Expected time until the answer begins, milliseconds. */
  readonly beginMilliseconds: number;
  /** Factor by which it is believed to exceed the times of an idle endpoint. */
  readonly slowness: number;
  /**
   * Time that it needs for all that this host has sent there before, by the turns of
   * its endpoints, milliseconds.
   */
  readonly sentMilliseconds: number;
}

/**
 * Shared parts of at most this many tokens are not worth a home: an engine reads
 * them in a few milliseconds.
 */
const MAXIMUM_SPREAD_TOKENS = 256;

/** Round trip to another data centre, milliseconds; the answers show the exact one. */
const ROUND_TRIP_MILLISECONDS = 3;

/**
 * Bytes between data centres are expensive: a request without a home leaves its own data
 * centre only to begin earlier by this part of its objective.
 */
const REMOTE_GOAL_PART = 0.25;

/**
 * Chooses the endpoint for a request, or undefined if there are no candidates.
 *
 * Responds to endpoints that are overloaded in turns while others are idle: a request
 * goes where it costs least by `ExpectedCost`. In a fleet of many hosts each has hardly
 * any request in progress at any endpoint, so that equal endpoints are the rule: a
 * random one of them is chosen, since the first one would be the same at every host. A
 * short part that many requests suddenly share spreads over all endpoints in this way,
 * although no host sees more than a few of these requests.
 *
 * A longer prompt part has a home, chosen by rendezvous hashing (Thaler and Ravishankar,
 * 1998), where it needn't be read again. All hosts agree without exchanging messages,
 * and only the prompt parts of an endpoint that leaves are moved. A part that is hot has
 * several homes, of which a random one is chosen; each reads the part once, or fetches it
 * from the first one of its data centre.
 */
export function placeRequest(
  request: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): PlacementCandidate | undefined {
  return choosePlacement(request, candidates)?.candidate;
}

/** As `placeRequest`, with what is expected of the endpoint. */
export function choosePlacement<Candidate extends PlacementCandidate>(
  request: PlacementRequest,
  candidates: readonly Candidate[],
): Placement<Candidate> | undefined {
  const usable = preferred(
    preferred(candidates, candidate => !request.avoided.has(candidate.id)),
    candidate => candidate.isAvailable,
  );
  const {sharedPart, sharedTokens, cost = unknownCost(request)} = request;
  const homes =
    sharedPart === undefined || sharedTokens <= MAXIMUM_SPREAD_TOKENS
      ? []
      : homesOf(sharedPart, request, usable);
  const costs = new ExpectedCost(
    cost,
    remoteMilliseconds(cost, homes.length > 0),
    usable,
  );
  const parts = new SharedParts(request, homes);
  const costAt = (other: Candidate) =>
    costs.of(other, cost.ownTokens + parts.costTokens(other)) +
    parts.fetchMilliseconds(other);
  const candidate = maximum(
    rotated(usable, request.fraction),
    other => -costAt(other),
  );
  if (candidate === undefined) {
    return undefined;
  }
  const tokens = cost.ownTokens + parts.expectedTokens(candidate);
  return {
    candidate,
    fetchFrom: parts.fetchFrom(candidate),
    source: parts.sourceAt(candidate),
    tokens,
    beginMilliseconds: costs.beginMilliseconds(candidate, tokens),
    slowness: costs.slowness(candidate),
    sentMilliseconds: costs.sentMilliseconds(candidate),
  };
}

/** What a request's shared parts cost at an endpoint. */
class SharedParts<Candidate extends PlacementCandidate> {
  private readonly heldShare: number;
  /** The home that the request goes to unless another endpoint costs less. */
  private readonly home: Candidate | undefined;

  /** @param homes The parts' homes, the first of which reads them first. */
  constructor(
    private readonly request: PlacementRequest,
    private readonly homes: readonly Candidate[],
  ) {
    this.heldShare = request.fetch?.heldShare ?? 1;
    this.home = homes[Math.floor(request.fraction * homes.length)];
  }

  /** The first home of the candidate's data centre, if the parts come from there. */
  fetchFrom(candidate: Candidate): Candidate | undefined {
    if (this.request.fetch === undefined) {
      return undefined;
    }
    // Bytes between data centres are expensive, and these are many.
    const source = this.homes.find(
      ({dataCenter}) => dataCenter === candidate.dataCenter,
    );
    return source === candidate ? undefined : source;
  }

  sourceAt(candidate: Candidate): PartSource {
    const {home} = this;
    if (home === undefined) {
      return PartSource.None;
    }
    if (candidate === home) {
      return PartSource.Home;
    }
    return this.fetchFrom(candidate) === undefined
      ? PartSource.Read
      : PartSource.Fetched;
  }

  /** Shared tokens that the endpoint is expected to read. */
  expectedTokens(candidate: Candidate): number {
    const {sharedTokens} = this.request;
    switch (this.sourceAt(candidate)) {
      case PartSource.None:
        return 0;
      case PartSource.Read:
        return sharedTokens;
      default:
        return (1 - this.heldShare) * sharedTokens;
    }
  }

  /**
   * The same as cost. Tokens that are read again delay other hosts' requests as much. If
   * the home doesn't hold the parts, requests after this one read them, too.
   */
  costTokens(candidate: Candidate): number {
    const tokens = this.expectedTokens(candidate);
    return this.sourceAt(candidate) === PartSource.Home ? tokens : 2 * tokens;
  }

  fetchMilliseconds(candidate: Candidate): number {
    return this.sourceAt(candidate) === PartSource.Fetched
      ? this.heldShare * (this.request.fetch?.milliseconds ?? 0)
      : 0;
  }
}

/** A request with a home goes there from any data centre. */
function remoteMilliseconds(cost: RequestCost, hasHome: boolean): number {
  return (
    ROUND_TRIP_MILLISECONDS + (hasHome ? 0 : REMOTE_GOAL_PART * goalOf(cost))
  );
}

function unknownCost({dataCenter}: PlacementRequest): RequestCost {
  return {
    now: 0,
    speed: new ServiceSpeed(),
    dataCenter,
    goalMilliseconds: 0,
    pauseGoalMilliseconds: 0,
    ownTokens: 0,
    hosts: 1,
  };
}

/** Returns the candidates that satisfy the condition, or all if none does. */
function preferred<Candidate>(
  candidates: readonly Candidate[],
  isPreferred: (candidate: Candidate) => boolean,
): readonly Candidate[] {
  const fitting = candidates.filter(isPreferred);
  return fitting.length > 0 ? fitting : candidates;
}

/** The endpoints that have a part's highest weights, in their order. */
function homesOf<Candidate extends PlacementCandidate>(
  part: string,
  {homes}: PlacementRequest,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const weight = ({id}: Candidate) => murmurhash.v3(`${part} ${id}`);
  if (homes <= 1) {
    const home = maximum(candidates, weight);
    return home === undefined ? [] : [home];
  }
  return candidates
    .map(candidate => ({candidate, weight: weight(candidate)}))
    .sort((one, other) => other.weight - one.weight)
    .slice(0, homes)
    .map(({candidate}) => candidate);
}

function rotated<Candidate>(
  candidates: readonly Candidate[],
  fraction: number,
): readonly Candidate[] {
  const first = Math.floor(fraction * candidates.length);
  return [...candidates.slice(first), ...candidates.slice(0, first)];
}

function maximum<Candidate>(
  candidates: readonly Candidate[],
  value: (candidate: Candidate) => number,
): Candidate | undefined {
  let best: Candidate | undefined;
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

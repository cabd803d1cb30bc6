import type {EndpointPool} from './endpoint-pool.js';
import type {EndpointState} from './endpoint-state.js';
import {PlacementPolicy} from './placement-policy.js';
import {PrefixIndex} from './prefix-index.js';
import type {WorkItem} from './work.js';

/**
 * An endpoint that holds a prefix of the prompt is preferred while its
 * utilisation is at most this factor times the mean (consistent hashing with
 * bounded loads). When most requests share one scenario's prompt, the endpoint
 * that caches it would otherwise receive all of them, and waiting there costs
 * more than the cached prefix saves.
 */
const AFFINITY_LOAD_BOUND = 1.25;

/**
 * Number of endpoints drawn at random when no holder of a prefix is acceptable
 * (power of two choices).
 */
const RANDOM_CHOICES = 2;

/**
 * Places a request on the endpoint that holds the longest prefix of its prompt,
 * subject to a bound on that endpoint's load. Otherwise picks the better of two
 * random endpoints by load and slowness.
 */
export class AffinityPlacement extends PlacementPolicy {
  private readonly prefixes = new PrefixIndex();

  /** @param fraction Returns random numbers in [0, 1). */
  constructor(private readonly fraction: () => number) {
    super();
  }

  override choose(
    item: WorkItem,
    pool: EndpointPool,
  ): EndpointState | undefined {
    const holder = this.prefixes.holderOfLongestPrefix(
      item.prefixHashes,
      state =>
        pool.isFree(state) &&
        state.endpoint !== item.avoidEndpoint &&
        isWithinBound(state, pool),
    );
    return holder ?? this.betterOfTwo(item, pool);
  }

  override placed(item: WorkItem, state: EndpointState): void {
    this.prefixes.addPrefixes(state, item.prefixHashes);
  }

  override announced(
    state: EndpointState,
    prefixHashes: readonly string[],
  ): void {
    this.prefixes.addPrefixes(state, prefixHashes);
  }

  override removed(state: EndpointState): void {
    this.prefixes.remove(state);
  }

  private betterOfTwo(
    item: WorkItem,
    pool: EndpointPool,
  ): EndpointState | undefined {
    let best: EndpointState | undefined;
    for (let choice = 0; choice < RANDOM_CHOICES; choice++) {
      const position = Math.floor(this.fraction() * pool.freeEndpoints);
      const candidate = pool.freeAt(position);
      if (candidate !== undefined) {
        best = better(best, candidate, item.avoidEndpoint);
      }
    }
    return best;
  }
}

function isWithinBound(state: EndpointState, pool: EndpointPool): boolean {
  const mean = pool.utilisation + 1 / Math.max(1, pool.slots);
  const next = (state.load + 1) / state.description.slots;
  return next <= AFFINITY_LOAD_BOUND * mean + 1 / state.description.slots;
}

function cost(state: EndpointState): number {
  const utilisation = (state.load + 1) / state.description.slots;
  return utilisation * state.health.slowness;
}

function better(
  best: EndpointState | undefined,
  candidate: EndpointState,
  avoided: string | undefined,
): EndpointState {
  if (best === undefined || best.endpoint === avoided) {
    return candidate;
  }
  return candidate.endpoint !== avoided && cost(candidate) < cost(best)
    ? candidate
    : best;
}

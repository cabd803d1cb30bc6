import type {EndpointPool} from './endpoint-pool.js';
import type {EndpointState} from './endpoint-state.js';
import {PlacementPolicy} from './placement-policy.js';
import {PrefixIndex} from './prefix-index.js';
import type {WorkItem} from './work.js';

/**
 * A holder of a prefix is preferred while its utilisation is at most this times
 * the mean (consistent hashing with bounded loads). Load: one scenario's prompt
 * is in most requests. Harm: the endpoint that holds it would get them all, and
 * waiting there costs more than the cached prefix saves.
 */
const AFFINITY_LOAD_BOUND = 1.25;

/** Drawn at random where no holder is acceptable (the power of two choices). */
const CHOICES = 2;

/**
 * The endpoint that holds the longest prefix of the prompt, within a bound on
 * its load; else the better of two random ones by load and slowness.
 */
export class AffinityPlacement extends PlacementPolicy {
  private readonly prefixes = new PrefixIndex();

  /** @param fraction Random numbers from 0 (included) to 1 (excluded). */
  constructor(private readonly fraction: () => number) {
    super();
  }

  override choose(
    item: WorkItem,
    pool: EndpointPool,
  ): EndpointState | undefined {
    const holder = this.prefixes.longestHolder(
      item.prefixHashes,
      state =>
        pool.isFree(state) &&
        state.endpoint !== item.avoidEndpoint &&
        isWithinBound(state, pool),
    );
    return holder ?? this.betterOfTwo(item, pool);
  }

  override placed(item: WorkItem, state: EndpointState): void {
    this.prefixes.note(state, item.prefixHashes);
  }

  override announced(
    state: EndpointState,
    prefixHashes: readonly string[],
  ): void {
    this.prefixes.note(state, prefixHashes);
  }

  override removed(state: EndpointState): void {
    this.prefixes.remove(state);
  }

  private betterOfTwo(
    item: WorkItem,
    pool: EndpointPool,
  ): EndpointState | undefined {
    let best: EndpointState | undefined;
    for (let choice = 0; choice < CHOICES; choice++) {
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

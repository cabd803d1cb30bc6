import type {EndpointState} from './endpoint-state.js';

/**
 * Maximum number of prefixes tracked per endpoint. Engines have limited cache
 * memory and do not announce evictions, so a larger index would list prefixes
 * that are no longer cached. Evicting the least recently used ones approximates
 * the engines' behaviour.
 */
const MAXIMUM_PREFIXES_PER_ENDPOINT = 2_048;

/**
 * Maximum number of holders tracked per prefix; the first ones are kept. Every
 * endpoint holds a prompt that all requests share, and searching all of them
 * for a free one would make the cost of a decision proportional to the number
 * of endpoints.
 */
const MAXIMUM_HOLDERS_PER_PREFIX = 8;

/**
 * Tracks which endpoints recently processed which prompt prefixes, from the
 * router's own placements (certain and immediate) and from the engines' events
 * (late and with gaps).
 */
export class PrefixIndex {
  private readonly holdersByPrefix = new Map<string, Set<EndpointState>>();
  /** Prefixes of each endpoint, least recently used first. */
  private readonly prefixesByEndpoint = new Map<EndpointState, Set<string>>();

  /** Returns an acceptable endpoint that holds the longest prefix. */
  holderOfLongestPrefix(
    prefixHashes: readonly string[],
    isAcceptable: (state: EndpointState) => boolean,
  ): EndpointState | undefined {
    for (let index = prefixHashes.length - 1; index >= 0; index--) {
      const holders = this.holdersByPrefix.get(prefixHashes[index] ?? '');
      for (const state of holders ?? []) {
        if (isAcceptable(state)) {
          return state;
        }
      }
    }
    return undefined;
  }

  /** Records that the endpoint holds these prefixes now. */
  addPrefixes(state: EndpointState, prefixHashes: readonly string[]): void {
    const tracked = this.prefixesByEndpoint.get(state) ?? new Set<string>();
    this.prefixesByEndpoint.set(state, tracked);
    for (const hash of prefixHashes) {
      tracked.delete(hash);
      tracked.add(hash);
      this.addHolder(state, hash);
    }
    for (const oldest of tracked) {
      if (tracked.size <= MAXIMUM_PREFIXES_PER_ENDPOINT) {
        break;
      }
      tracked.delete(oldest);
      this.removeHolder(state, oldest);
    }
  }

  /** Removes an endpoint. */
  remove(state: EndpointState): void {
    for (const hash of this.prefixesByEndpoint.get(state) ?? []) {
      this.removeHolder(state, hash);
    }
    this.prefixesByEndpoint.delete(state);
  }

  /**
   * Keeps the first holders of a prefix, so that its requests continue to go to
   * the same endpoints.
   */
  private addHolder(state: EndpointState, hash: string): void {
    const holders = this.holdersByPrefix.get(hash) ?? new Set<EndpointState>();
    this.holdersByPrefix.set(hash, holders);
    if (holders.size < MAXIMUM_HOLDERS_PER_PREFIX) {
      holders.add(state);
    }
  }

  private removeHolder(state: EndpointState, hash: string): void {
    const holders = this.holdersByPrefix.get(hash);
    holders?.delete(state);
    if (holders?.size === 0) {
      this.holdersByPrefix.delete(hash);
    }
  }
}

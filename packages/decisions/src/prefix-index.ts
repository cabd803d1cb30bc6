import type {EndpointState} from './endpoint-state.js';

/**
 * Prefixes remembered for each endpoint. Engines cache in limited memory and
 * announce no evictions, so a long memory would name prefixes that are gone;
 * forgetting the least recently used ones imitates what engines do.
 */
const PREFIXES_PER_ENDPOINT = 2_048;

/**
 * Which endpoint has lately worked on which prompt prefix, from the router's own
 * placements (certain and immediate) and from the engines' events (late and with
 * gaps).
 */
export class PrefixIndex {
  private readonly holders = new Map<string, Set<EndpointState>>();
  /** Least recently used first. */
  private readonly prefixes = new Map<EndpointState, Set<string>>();

  /** Endpoints that hold the longest known prefix that any acceptable one holds. */
  longestHolder(
    prefixHashes: readonly string[],
    accept: (state: EndpointState) => boolean,
  ): EndpointState | undefined {
    for (let index = prefixHashes.length - 1; index >= 0; index--) {
      const holders = this.holders.get(prefixHashes[index] ?? '');
      for (const state of holders ?? []) {
        if (accept(state)) {
          return state;
        }
      }
    }
    return undefined;
  }

  /** The endpoint holds these prefixes now. */
  note(state: EndpointState, prefixHashes: readonly string[]): void {
    const known = this.prefixes.get(state) ?? new Set<string>();
    this.prefixes.set(state, known);
    for (const hash of prefixHashes) {
      known.delete(hash);
      known.add(hash);
      const holders = this.holders.get(hash) ?? new Set<EndpointState>();
      this.holders.set(hash, holders.add(state));
    }
    for (const oldest of known) {
      if (known.size <= PREFIXES_PER_ENDPOINT) {
        break;
      }
      known.delete(oldest);
      this.forgetHolder(state, oldest);
    }
  }

  /** The endpoint is gone. */
  remove(state: EndpointState): void {
    for (const hash of this.prefixes.get(state) ?? []) {
      this.forgetHolder(state, hash);
    }
    this.prefixes.delete(state);
  }

  private forgetHolder(state: EndpointState, hash: string): void {
    const holders = this.holders.get(hash);
    holders?.delete(state);
    if (holders?.size === 0) {
      this.holders.delete(hash);
    }
  }
}

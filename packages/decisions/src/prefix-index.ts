import type {EndpointState} from './endpoint-state.js';

/**
 * Prefixes remembered for each endpoint. Engines cache in limited memory and
 * announce no evictions, so a long memory would name prefixes that are gone;
 * forgetting the least recently used ones imitates what engines do.
 */
const PREFIXES_PER_ENDPOINT = 2_048;

/**
 * Holders remembered for each prefix, the first ones. A prompt that everybody
 * shares is held by every endpoint; looking at all of them for one that is free
 * would make a decision cost as much as there are endpoints.
 */
const HOLDERS_PER_PREFIX = 8;

/**
 * Which endpoint has lately worked on which prompt prefix, from the router's own
 * placements (certain and immediate) and from the engines' events (late and with
 * gaps).
 */
export class PrefixIndex {
  private readonly holders = new Map<string, Set<EndpointState>>();
  /** Least recently used first. */
  private readonly prefixes = new Map<EndpointState, Set<string>>();

  /** The endpoint that holds the longest prefix, among those acceptable. */
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
      this.addHolder(state, hash);
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

  /** The first holders stay the preferred ones, so that a prefix has a home. */
  private addHolder(state: EndpointState, hash: string): void {
    const holders = this.holders.get(hash) ?? new Set<EndpointState>();
    this.holders.set(hash, holders);
    if (holders.size < HOLDERS_PER_PREFIX) {
      holders.add(state);
    }
  }

  private forgetHolder(state: EndpointState, hash: string): void {
    const holders = this.holders.get(hash);
    holders?.delete(state);
    if (holders?.size === 0) {
      this.holders.delete(hash);
    }
  }
}

import {chooseHolder} from '@wisteriadeal/ledger';

/**
 * Caches the results of rendezvous hashing until the set of candidates changes.
 *
 * Every organisation is checked several times per second. Hashing each
 * organisation with each candidate on every check took a third of an idle
 * keeper's time. Clearing the whole cache when a candidate is added or removed
 * costs one round of hashes, and hosts change far less often than checks run.
 */
export class RendezvousCache {
  private candidates = '';
  private readonly chosen = new Map<string, string | undefined>();

  /** Returns the candidate that ranks first for the organisation. */
  choose(
    organisation: string,
    incarnations: readonly string[],
  ): string | undefined {
    const candidates = [...incarnations].sort().join(' ');
    if (candidates !== this.candidates) {
      this.candidates = candidates;
      this.chosen.clear();
    }
    if (!this.chosen.has(organisation)) {
      this.chosen.set(organisation, chooseHolder(organisation, incarnations));
    }
    return this.chosen.get(organisation);
  }
}

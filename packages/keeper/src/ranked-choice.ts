import {chooseHolder} from '@wisteriadeal/ledger';

/**
 * Rendezvous choices, remembered while the candidates stay the same.
 *
 * Load: every organisation is looked at several times a second. Harm: a hash for
 * each organisation and candidate at each look took a third of an idle keeper's
 * time. Forgetting everything when a candidate comes or goes costs one round of
 * hashes, and hosts come and go far less often than looks.
 */
export class RankedChoice {
  private candidates = '';
  private readonly chosen = new Map<string, string | undefined>();

  /** The candidate that ranks first for the organisation. */
  best(
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

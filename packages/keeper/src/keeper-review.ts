import {openingEntryId} from '@wisteriadeal/ledger';
import type {Organisation} from '@wisteriadeal/schema';

import {ledgerEntry} from './ledger-entries.js';
import type {KeeperParts} from './keeper-parts.js';
import type {OrganisationGrants} from './organisation-grants.js';

/** How often grants, witnesses and lost peers are looked at. */
const REVIEW_MILLISECONDS = 250;
/** A checkpoint is due after thousands of records. */
const CHECKPOINT_REVIEW_MILLISECONDS = 1_000;

/** Looks, again and again, at everything that time or peers can change. */
export class KeeperReview {
  constructor(private readonly parts: KeeperParts) {}

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.review(signal);
      await this.parts.grants.untilWanted(REVIEW_MILLISECONDS, signal);
    }
  }

  /** Writes checkpoints until the signal is aborted. */
  async runCheckpoints(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.parts.checkpoints.review(signal);
      await this.parts.surroundings.clock.sleep(
        CHECKPOINT_REVIEW_MILLISECONDS,
        signal,
      );
    }
  }

  private review(signal: AbortSignal): void {
    const {parts} = this;
    parts.reclaimer.review();
    parts.orphans.review();
    for (const organisation of parts.configuration.configuration
      ?.organisations ?? []) {
      this.reviewOrganisation(organisation);
    }
    for (const grants of parts.grants.all) {
      parts.holdings.review(grants);
      if (this.needsPeers(grants)) {
        void parts.transfers.ask(grants, signal);
      }
    }
    parts.links.retain(parts.holdings.witnessesInUse);
  }

  private reviewOrganisation(organisation: Organisation): void {
    const {membership, replicas, health, grants} = this.parts;
    const isHolder =
      membership.holderOf(organisation.name) === membership.self.incarnation;
    const stream = replicas.streamOf(organisation.name);
    if (
      !isHolder ||
      membership.isLeaving ||
      !health.isReachable(stream) ||
      !health.hasCaughtUp(stream)
    ) {
      return;
    }
    this.creditOpening(organisation);
    grants.review(organisation.name);
  }

  /** The publisher credits it too; the identifier makes it once. */
  private creditOpening(organisation: Organisation): void {
    const entryId = openingEntryId(organisation.name);
    const ledger = this.parts.replicas.ledgerOf(organisation.name);
    if (
      organisation.openingBudgetTokens > 0 &&
      !ledger.hasSeen(organisation.name, entryId)
    ) {
      void this.parts.appender.submit(
        ledgerEntry(entryId, organisation.name, {
          case: 'topUp',
          value: {
            tokens: organisation.openingBudgetTokens,
            operator: this.parts.membership.self.incarnation,
            reason: 'opening budget',
          },
        }),
      );
    }
  }

  /** A request waits, and the log can't give what it needs. */
  private needsPeers(grants: OrganisationGrants): boolean {
    const {replicas, health} = this.parts;
    const bound = grants.waitingBoundTokens;
    if (bound === 0 || bound <= grants.largestSpendableTokens) {
      return false;
    }
    const stream = replicas.streamOf(grants.organisation);
    const {unallocatedTokens} = replicas
      .ledgerOf(grants.organisation)
      .totals(grants.organisation);
    return !health.isReachable(stream) || unallocatedTokens < bound;
  }
}

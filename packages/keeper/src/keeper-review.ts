import {openingEntryId} from '@wisteriadeal/ledger';
import type {Organisation} from '@wisteriadeal/schema';

import {ledgerEntry} from './ledger-entries.js';
import type {KeeperParts} from './keeper-parts.js';
import type {OrganisationGrants} from './organisation-grants.js';

/** Maximum interval between two checks of grants, witnesses and lost peers. */
const REVIEW_INTERVAL_MILLISECONDS = 250;
/**
 * Interval between checks for due checkpoints; one is due after thousands of
 * records.
 */
const CHECKPOINT_REVIEW_INTERVAL_MILLISECONDS = 1_000;

/**
 * Periodically checks all state that changes with time or with the state of
 * peers.
 */
export class KeeperReview {
  constructor(private readonly parts: KeeperParts) {}

  /** Runs the checks until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.review(signal);
      await this.parts.grantManager.waitForDemand(
        REVIEW_INTERVAL_MILLISECONDS,
        signal,
      );
    }
  }

  /** Writes checkpoints until the signal is aborted. */
  async runCheckpoints(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.parts.checkpoints.writeDueCheckpoints(signal);
      await this.parts.dependencies.clock.sleep(
        CHECKPOINT_REVIEW_INTERVAL_MILLISECONDS,
        signal,
      );
    }
  }

  private review(signal: AbortSignal): void {
    const {parts} = this;
    parts.appender.review();
    parts.keptEntries.review(signal);
    parts.reclaimer.review();
    parts.inherited.review();
    parts.orphans.review();
    for (const organisation of parts.configuration.configuration
      ?.organisations ?? []) {
      this.reviewOrganisation(organisation);
    }
    for (const grants of parts.grantManager.all) {
      parts.grantMaintainer.review(grants);
      if (this.needsTokensFromPeers(grants)) {
        void parts.transfers.requestTokens(grants, signal);
      }
    }
    parts.links.retain(parts.grantMaintainer.witnessesInUse);
  }

  private reviewOrganisation(organisation: Organisation): void {
    const {membership, replicas, health, grantManager} = this.parts;
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
    this.creditOpeningBudget(organisation);
    grantManager.review(organisation.name);
  }

  /**
   * Credits the opening budget of an organisation. The publisher of the
   * configuration appends the same entry; its identifier makes it count only
   * once.
   */
  private creditOpeningBudget(organisation: Organisation): void {
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

  /**
   * Whether a request waits for tokens that can't be granted through the log.
   */
  private needsTokensFromPeers(grants: OrganisationGrants): boolean {
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

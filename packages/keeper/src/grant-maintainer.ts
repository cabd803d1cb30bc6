import {VerdictKind} from '@wisteriadeal/ledger';

import type {GrantHolding} from './grant-holding.js';
import type {GrantManager} from './grant-manager.js';
import type {GrantDependencies} from './grant-dependencies.js';
import {ledgerEntry} from './ledger-entries.js';
import type {OrganisationGrants} from './organisation-grants.js';
import {Acknowledgement} from './witness-link.js';

/**
 * Keeps a live witness for each held grant, and closes grants that are no
 * longer needed.
 */
export class GrantMaintainer {
  private readonly changingWitness = new Set<string>();
  /** Grants whose witness is being asked whether they are still fenced. */
  private readonly recheckingFence = new Set<string>();

  constructor(
    private readonly dependencies: GrantDependencies,
    private readonly grantManager: GrantManager,
    private readonly witnessTimeoutMilliseconds: number,
  ) {}

  /** Checks the grants of one organisation. */
  review(grants: OrganisationGrants): void {
    const isHolder =
      this.dependencies.membership.holderOf(grants.organisation) ===
        this.dependencies.membership.self.incarnation &&
      !this.dependencies.membership.isLeaving;
    for (const holding of [...grants.holdings.values()]) {
      this.reviewWitness(grants.organisation, holding);
      this.reviewFence(holding);
      this.reviewUnused(grants, holding, isHolder);
    }
  }

  /** Incarnations of the witnesses of all held grants. */
  get witnessesInUse(): ReadonlySet<string> {
    return new Set(
      this.grantManager.all.flatMap(grants =>
        [...grants.holdings.values()].flatMap(holding => holding.witnesses),
      ),
    );
  }

  private reviewWitness(organisation: string, holding: GrantHolding): void {
    const {membership, health, replicas, links} = this.dependencies;
    if (
      holding.isClosed ||
      this.changingWitness.has(holding.grantId) ||
      !health.isReachable(replicas.streamOf(organisation))
    ) {
      return;
    }
    const isHealthy =
      holding.witness !== '' &&
      links.linkTo(holding.witness)?.isConnected === true &&
      membership.isReachable(holding.witness);
    const isLost =
      holding.witness === '' ||
      membership.millisecondsSinceHeartbeat(holding.witness) >
        this.witnessTimeoutMilliseconds;
    const candidate = membership.witnessFor(organisation) ?? '';
    if (!isHealthy && isLost && candidate !== holding.witness) {
      this.changingWitness.add(holding.grantId);
      void this.changeWitness(organisation, holding, candidate).finally(() => {
        this.changingWitness.delete(holding.grantId);
      });
    }
  }

  /**
   * Sends the book of a fenced grant again. The witness lifts its fence when
   * the log has refused the reclaim, but no reservation is sent while the grant
   * is fenced, so nothing else would show that the fence is gone.
   */
  private reviewFence(holding: GrantHolding): void {
    const {grantId} = holding;
    if (
      holding.isClosed ||
      !holding.isFenced ||
      this.recheckingFence.has(grantId)
    ) {
      return;
    }
    this.recheckingFence.add(grantId);
    void this.dependencies.replicator
      .commit(holding, holding.book.createOpenedChange())
      .finally(() => {
        this.recheckingFence.delete(grantId);
      });
  }

  /**
   * Changes the witness of a grant. The new witness gets the full book before
   * the log names it, and both witnesses must acknowledge changes until the log
   * has decided. The witness that is in force when it fences the grant
   * therefore has every dispatched request in its book.
   */
  private async changeWitness(
    organisation: string,
    holding: GrantHolding,
    candidate: string,
  ): Promise<void> {
    if (candidate !== '') {
      holding.candidate = candidate;
      const answer =
        (await this.dependencies.links
          .linkTo(candidate)
          ?.send(holding.book.createOpenedChange())) ??
        Acknowledgement.Unconfirmed;
      holding.recordAcknowledgement(candidate, answer);
      if (answer !== Acknowledgement.Applied) {
        holding.candidate = undefined;
        return;
      }
    }
    const from = holding.witness;
    const {verdict} = await this.dependencies.appender.submit(
      ledgerEntry(
        `witness:${holding.grantId}:${this.dependencies.random.identifier()}`,
        organisation,
        {
          case: 'witnessChange',
          value: {grantId: holding.grantId, from, to: candidate},
        },
      ),
    );
    this.applyLoggedWitness(organisation, holding);
    this.dependencies.eventLog.info('witness changed', {
      organisation,
      grant: holding.grantId,
      from,
      to: candidate,
      accepted: verdict.kind === VerdictKind.Accepted,
    });
  }

  /**
   * Sets the witness that is in force in the fold, whether the change was
   * accepted or not.
   */
  private applyLoggedWitness(
    organisation: string,
    holding: GrantHolding,
  ): void {
    const state = this.dependencies.replicas
      .ledgerOf(organisation)
      .grant(organisation, holding.grantId);
    if (state?.closed === true) {
      holding.isClosed = true;
    } else if (state !== undefined) {
      holding.witness = state.witness;
    }
    holding.candidate = undefined;
  }

  private reviewUnused(
    grants: OrganisationGrants,
    holding: GrantHolding,
    isHolder: boolean,
  ): void {
    const {book} = holding;
    if (holding.isClosed) {
      if (book.isSettled) {
        grants.holdings.delete(holding.grantId);
      }
      return;
    }
    // Only holdings without spendable tokens are closed: a small remainder may
    // still cover a small request, and closing it would cause an immediate
    // request for the same amount.
    const isExhausted =
      holding.spendableTokens === 0 &&
      book.isSettled &&
      grants.holdings.size > 1;
    const isUnneeded = !isHolder && grants.waitingBoundTokens === 0;
    if (isUnneeded || isExhausted) {
      book.stopReserving();
    }
    // The log entry of a transferred grant may not have been folded yet.
    const state = this.dependencies.replicas
      .ledgerOf(grants.organisation)
      .grant(grants.organisation, holding.grantId);
    const isOnLog = state !== undefined && !state.announcedByBill;
    if (book.isClosing && book.isSettled && isOnLog && !holding.isReturning) {
      void this.grantManager.closeHolding(holding);
    }
  }
}

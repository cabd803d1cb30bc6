import {create} from '@bufbuild/protobuf';
import {VerdictKind} from '@wisteriadeal/ledger';
import {
  WitnessNominationSchema,
  type WitnessNomination,
} from '@wisteriadeal/schema';

import type {GrantHolding} from './grant-holding.js';
import type {GrantManager} from './grant-manager.js';
import type {GrantDependencies} from './grant-dependencies.js';
import {witnessChangeEntry} from './ledger-entries.js';
import type {OrganisationGrants} from './organisation-grants.js';
import {Acknowledgement} from './witness-link.js';

/**
 * Keeps a live witness for each held grant, and closes grants that are no
 * longer needed.
 */
export class GrantMaintainer {
  /** Grants whose next witness is being sent the book. */
  private readonly changingWitness = new Set<string>();
  /** Grants whose change to no witness the log has not decided. */
  private readonly removingWitness = new Set<string>();
  /** Grants and nominees whose nomination is being sent. */
  private readonly confirmingNominees = new Set<string>();
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
      this.reviewNominees(holding);
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
    if (holding.isClosed || this.changingWitness.has(holding.grantId)) {
      return;
    }
    const {membership, health, replicas} = this.dependencies;
    const candidate = membership.witnessFor(organisation);
    const isLogReachable = health.isReachable(replicas.streamOf(organisation));
    if (candidate === undefined) {
      if (isLogReachable && this.mustRemoveWitness(holding)) {
        void this.removeWitness(organisation, holding);
      }
    } else if (this.mustChangeWitness(holding, candidate, isLogReachable)) {
      this.changingWitness.add(holding.grantId);
      void this.nominateWitness(organisation, holding, candidate).finally(
        () => {
          this.changingWitness.delete(holding.grantId);
        },
      );
    }
  }

  /**
   * Whether a grant keeps a witness that is not heard any more, while no other
   * peer is heard either.
   */
  private mustRemoveWitness(holding: GrantHolding): boolean {
    return (
      holding.witness !== '' &&
      !this.removingWitness.has(holding.grantId) &&
      this.isWitnessLost(holding.witness) &&
      !this.hasLiveNominee(holding)
    );
  }

  /**
   * Whether a candidate must replace the witness. While the log is unreachable,
   * a lost witness is replaced too: the candidate then has a copy of the book,
   * and can append the change itself if this keeper dies.
   */
  private mustChangeWitness(
    holding: GrantHolding,
    candidate: string,
    isLogReachable: boolean,
  ): boolean {
    if (candidate === holding.witness || this.hasLiveNominee(holding)) {
      return false;
    }
    return (
      holding.witness === '' ||
      this.isWitnessLost(holding.witness) ||
      (isLogReachable && this.isCloser(candidate, holding.witness))
    );
  }

  private isWitnessLost(witness: string): boolean {
    const {membership, links} = this.dependencies;
    const isHealthy =
      links.linkTo(witness)?.isConnected === true &&
      membership.isReachable(witness);
    const isSilent =
      membership.millisecondsSinceHeartbeat(witness) >
      this.witnessTimeoutMilliseconds;
    return membership.isLeavingPeer(witness) || (!isHealthy && isSilent);
  }

  /**
   * Whether a candidate is in this data centre and the witness is not. A grant
   * with a witness in another data centre can't be used in a partition. The
   * candidate must have been reachable for some time, so that a peer whose
   * heartbeats come late does not cause one change after the other.
   */
  private isCloser(candidate: string, witness: string): boolean {
    const {membership} = this.dependencies;
    return (
      membership.isLocal(candidate) &&
      !membership.isLocal(witness) &&
      membership.isSteadilyReachable(candidate)
    );
  }

  private hasLiveNominee(holding: GrantHolding): boolean {
    return holding.nominees.some(
      nominee =>
        this.dependencies.membership.millisecondsSinceHeartbeat(nominee) <=
        this.witnessTimeoutMilliseconds,
    );
  }

  /**
   * Sends nominations that were not acknowledged again. A grant that the log
   * names no witness for can't be used until one is.
   */
  private reviewNominees(holding: GrantHolding): void {
    for (const [nominee, nomination] of holding.unconfirmedNominations) {
      const key = `${holding.grantId}:${nominee}`;
      if (!this.confirmingNominees.has(key)) {
        this.confirmingNominees.add(key);
        void this.confirmNominee(holding, nominee, nomination).finally(() => {
          this.confirmingNominees.delete(key);
        });
      }
    }
  }

  private async confirmNominee(
    holding: GrantHolding,
    nominee: string,
    nomination: WitnessNomination,
  ): Promise<void> {
    const answer = await this.dependencies.replicator.sendToWitness(
      holding,
      nominee,
      holding.book.createNominatedChange(nomination),
    );
    if (answer === Acknowledgement.Applied) {
      holding.confirmNomination(nominee);
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
    const {replicator} = this.dependencies;
    const answers = holding.witnesses.map(witness =>
      replicator.sendToWitness(
        holding,
        witness,
        holding.createOpenedChange(witness),
      ),
    );
    void Promise.all(answers).finally(() => {
      this.recheckingFence.delete(grantId);
    });
  }

  /**
   * Changes the witness of a grant. The new witness gets the full book before
   * the log names it, and both witnesses must acknowledge changes until the log
   * has decided. The witness that is in force when it fences the grant
   * therefore has every dispatched request in its book.
   *
   * The new witness also gets the entry that names it, so that it can append
   * the entry and reclaim the grant if this keeper is lost while the log is
   * unreachable. It gets the entry only after this keeper has decided to need
   * its acknowledgement until the log shows the entry.
   */
  private async nominateWitness(
    organisation: string,
    holding: GrantHolding,
    candidate: string,
  ): Promise<void> {
    const {replicator, random} = this.dependencies;
    holding.candidate = candidate;
    const answer = await replicator.sendToWitness(
      holding,
      candidate,
      holding.createOpenedChange(candidate),
    );
    holding.candidate = undefined;
    if (answer !== Acknowledgement.Applied) {
      return;
    }
    const nomination = create(WitnessNominationSchema, {
      entryId: `witness:${holding.grantId}:${random.identifier()}`,
      from: holding.witness,
      changeNumber: this.nextChangeNumber(organisation, holding),
    });
    holding.nominate(candidate, nomination);
    void this.submitWitnessChange(organisation, holding, nomination, candidate);
    this.reviewNominees(holding);
  }

  private async removeWitness(
    organisation: string,
    holding: GrantHolding,
  ): Promise<void> {
    const {witness, grantId} = holding;
    const entryId = `witness:${grantId}:${this.dependencies.random.identifier()}`;
    const nomination = create(WitnessNominationSchema, {
      entryId,
      from: witness,
      changeNumber: this.nextChangeNumber(organisation, holding),
    });
    // The log may become unreachable before it has decided, and a peer may then
    // be nominated meanwhile.
    this.removingWitness.add(grantId);
    await this.submitWitnessChange(organisation, holding, nomination, '');
    this.removingWitness.delete(grantId);
  }

  private nextChangeNumber(
    organisation: string,
    {grantId}: GrantHolding,
  ): number {
    const ledger = this.dependencies.replicas.ledgerOf(organisation);
    return (ledger.grant(organisation, grantId)?.witnessChanges ?? 0) + 1;
  }

  private async submitWitnessChange(
    organisation: string,
    holding: GrantHolding,
    {entryId, from, changeNumber}: WitnessNomination,
    to: string,
  ): Promise<void> {
    const {verdict} = await this.dependencies.appender.submit(
      witnessChangeEntry(entryId, organisation, {
        grantId: holding.grantId,
        from,
        to,
        changeNumber,
      }),
    );
    holding.endNomination(to);
    this.applyLoggedWitness(organisation, holding);
    this.dependencies.eventLog.info('witness changed', {
      organisation,
      grant: holding.grantId,
      from,
      to,
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
    const canClose = book.isSettled && holding.uncommittedReturns === 0;
    if (book.isClosing && canClose && isOnLog && !holding.isReturning) {
      void this.grantManager.closeHolding(holding);
    }
  }
}

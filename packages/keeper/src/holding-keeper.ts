import {VerdictKind} from '@wisteriadeal/ledger';

import type {GrantHolding} from './grant-holding.js';
import type {GrantManager} from './grant-manager.js';
import type {GrantParts} from './grant-parts.js';
import {ledgerEntry} from './ledger-entries.js';
import type {OrganisationGrants} from './organisation-grants.js';
import {Acknowledgement} from './witness-link.js';

/** Keeps held grants in shape: a live witness each, and no empty remains. */
export class HoldingKeeper {
  private readonly changing = new Set<string>();
  /** Grants whose fencing witness is asked whether it still fences them. */
  private readonly asking = new Set<string>();

  constructor(
    private readonly parts: GrantParts,
    private readonly manager: GrantManager,
    private readonly witnessPatienceMilliseconds: number,
  ) {}

  /** Looks at one organisation's grants. */
  review(grants: OrganisationGrants): void {
    const keep =
      this.parts.membership.holderOf(grants.organisation) ===
        this.parts.membership.self.incarnation &&
      !this.parts.membership.isLeaving;
    for (const holding of [...grants.holdings.values()]) {
      this.reviewWitness(grants.organisation, holding);
      this.reviewFence(holding);
      this.reviewRemains(grants, holding, keep);
    }
  }

  /** Links to witnesses that are in use. */
  get witnessesInUse(): ReadonlySet<string> {
    return new Set(
      this.manager.all.flatMap(grants =>
        [...grants.holdings.values()].flatMap(holding => holding.witnesses),
      ),
    );
  }

  private reviewWitness(organisation: string, holding: GrantHolding): void {
    const {membership, health, replicas, links} = this.parts;
    if (
      holding.isClosed ||
      this.changing.has(holding.grantId) ||
      !health.isReachable(replicas.streamOf(organisation))
    ) {
      return;
    }
    const healthy =
      holding.witness !== '' &&
      links.to(holding.witness)?.isConnected === true &&
      membership.isReachable(holding.witness);
    const silent =
      holding.witness === '' ||
      membership.silenceMilliseconds(holding.witness) >
        this.witnessPatienceMilliseconds;
    const candidate = membership.witnessFor(organisation) ?? '';
    if (!healthy && silent && candidate !== holding.witness) {
      this.changing.add(holding.grantId);
      void this.changeWitness(organisation, holding, candidate).finally(() => {
        this.changing.delete(holding.grantId);
      });
    }
  }

  /**
   * A fence is lifted where the log has refused the reclaim; until the witness
   * acknowledges again, nothing is reserved that would show it.
   */
  private reviewFence(holding: GrantHolding): void {
    const {grantId} = holding;
    if (holding.isClosed || !holding.isFenced || this.asking.has(grantId)) {
      return;
    }
    this.asking.add(grantId);
    void this.parts.replicator
      .commit(holding, holding.book.opened())
      .finally(() => {
        this.asking.delete(grantId);
      });
  }

  /**
   * The new witness gets the whole book before the log names it, and both must
   * acknowledge until the log has decided; so whichever is in force when it
   * fences knows of every dispatch.
   */
  private async changeWitness(
    organisation: string,
    holding: GrantHolding,
    candidate: string,
  ): Promise<void> {
    if (candidate !== '') {
      holding.candidate = candidate;
      const answer =
        (await this.parts.links.to(candidate)?.send(holding.book.opened())) ??
        Acknowledgement.Lost;
      holding.answered(candidate, answer);
      if (answer !== Acknowledgement.Applied) {
        holding.candidate = undefined;
        return;
      }
    }
    const from = holding.witness;
    const {verdict} = await this.parts.appender.submit(
      ledgerEntry(
        `witness:${holding.grantId}:${this.parts.random.identifier()}`,
        organisation,
        {
          case: 'witnessChange',
          value: {grantId: holding.grantId, from, to: candidate},
        },
      ),
    );
    this.adoptVerdict(organisation, holding);
    this.parts.eventLog.info('witness changed', {
      organisation,
      grant: holding.grantId,
      from,
      to: candidate,
      accepted: verdict.kind === VerdictKind.Accepted,
    });
  }

  /** The fold says which witness is in force, whatever became of the record. */
  private adoptVerdict(organisation: string, holding: GrantHolding): void {
    const state = this.parts.replicas
      .ledgerOf(organisation)
      .grant(organisation, holding.grantId);
    if (state?.closed === true) {
      holding.isClosed = true;
    } else if (state !== undefined) {
      holding.witness = state.witness;
    }
    holding.candidate = undefined;
  }

  private reviewRemains(
    grants: OrganisationGrants,
    holding: GrantHolding,
    keep: boolean,
  ): void {
    const {book} = holding;
    if (holding.isClosed) {
      if (book.isSettled) {
        grants.holdings.delete(holding.grantId);
      }
      return;
    }
    // Only an empty one: a small rest may still serve a small request, and to
    // close it would ask for as much again at once.
    const useless =
      holding.spendableTokens === 0 &&
      book.isSettled &&
      grants.holdings.size > 1;
    const unused = !keep && grants.waitingBoundTokens === 0;
    if (unused || useless) {
      book.stopReserving();
    }
    // A transferred grant's record may still be on its way to the log.
    const state = this.parts.replicas
      .ledgerOf(grants.organisation)
      .grant(grants.organisation, holding.grantId);
    const onLog = state !== undefined && !state.announcedByBill;
    if (book.isClosing && book.isSettled && onLog && !holding.returning) {
      void this.manager.closeHolding(holding);
    }
  }
}

import {VerdictKind, type GrantDecision} from '@wisteriadeal/ledger';
import {
  BudgetPreference,
  type BookChange,
  type Transfer,
} from '@wisteriadeal/schema';

import {GrantHolding} from './grant-holding.js';
import {tookEffect} from './ledger-appender.js';
import {ledgerEntry} from './ledger-entries.js';
import type {GrantDependencies} from './grant-dependencies.js';
import {largestHolder} from './largest-holder.js';
import {OrganisationGrants} from './organisation-grants.js';
import {InterruptibleSleep} from './interruptible-sleep.js';
import {Acknowledgement} from './witness-link.js';

/**
 * Length of a network partition, in seconds, that grants should cover: users
 * report that regions are sometimes partitioned for an hour.
 */
export const EXPECTED_PARTITION_SECONDS = 3_600;

/**
 * Minimum interval between grant requests of an organisation with no waiting
 * request.
 */
const REFILL_INTERVAL_MILLISECONDS = 500;
/**
 * Minimum interval between returns of an organisation's idle tokens. Without
 * it, holders with shifting shares of the demand return tokens and request them
 * again as fast as the log answers. Two seconds keep this below one append per
 * second for each organisation and holder.
 */
const RETURN_INTERVAL_MILLISECONDS = 2_000;

/**
 * Manages this keeper's grants of all organisations, and requests and returns
 * tokens.
 */
export class GrantManager {
  private readonly organisations = new Map<string, OrganisationGrants>();
  private readonly nextRefillAt = new Map<string, number>();
  private readonly nextReturnAt = new Map<string, number>();
  private readonly reviewSleep: InterruptibleSleep;

  constructor(private readonly dependencies: GrantDependencies) {
    this.reviewSleep = new InterruptibleSleep(dependencies.clock);
    dependencies.links.setSnapshotSource(witness =>
      this.booksForWitness(witness),
    );
  }

  /**
   * Returns the grants of an organisation; creates an empty set on first use.
   */
  forOrganisation(organisation: string): OrganisationGrants {
    const known = this.organisations.get(organisation);
    if (known !== undefined) {
      return known;
    }
    const grants = new OrganisationGrants(
      organisation,
      this.dependencies.replicator,
      this.dependencies.clock,
      () => {
        this.reviewSleep.wake();
      },
      () => {
        const ledger = this.dependencies.replicas.ledgerOf(organisation);
        const {creditedTokens, billedTokens} = ledger.totals(organisation);
        return creditedTokens === 0 ? undefined : creditedTokens - billedTokens;
      },
    );
    this.organisations.set(organisation, grants);
    return grants;
  }

  /** The grants of every organisation that was used so far. */
  get all(): readonly OrganisationGrants[] {
    return [...this.organisations.values()];
  }

  /** Returns a grant that this keeper holds. */
  holding(organisation: string, grantId: string): GrantHolding | undefined {
    return this.organisations.get(organisation)?.holdings.get(grantId);
  }

  /**
   * Resolves when a request needs tokens, a grant was decided, or after the
   * delay.
   */
  async waitForDemand(
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.reviewSleep.sleep(milliseconds, signal);
  }

  /**
   * Requests or returns tokens of one organisation as the grant policy decides.
   */
  review(organisation: string): void {
    const grants = this.forOrganisation(organisation);
    const decision = this.dependencies.policy.decide(this.policyInput(grants));
    if (decision.grantRequestTokens > 0 && grants.requestedTokens === 0) {
      this.requestAtInterval(grants, decision);
    } else if (decision.returnTokens > 0) {
      this.returnAtInterval(grants, decision.returnTokens);
    }
  }

  /**
   * Opens a grant with the tokens that another holder transferred. An answer
   * that arrives after the grant was used and closed opens nothing.
   */
  acceptTransfer(
    organisation: string,
    transfer: Transfer,
  ): GrantHolding | undefined {
    const logged = this.dependencies.replicas
      .ledgerOf(organisation)
      .grant(organisation, transfer.transferId);
    if (logged?.closed === true) {
      return undefined;
    }
    return this.openHolding(
      organisation,
      transfer.transferId,
      transfer.tokens,
      transfer.toWitness,
    );
  }

  /**
   * Opens a grant with transferred tokens if the log shows it. A transfer that a
   * reclaim lists may have been refused.
   */
  acceptLoggedTransfer(organisation: string, transfer: Transfer): void {
    const logged = this.dependencies.replicas
      .ledgerOf(organisation)
      .grant(organisation, transfer.transferId);
    if (logged !== undefined && !logged.announcedByBill) {
      this.acceptTransfer(organisation, transfer);
    }
  }

  private policyInput(grants: OrganisationGrants) {
    const {dependencies} = this;
    const {organisation} = grants;
    const ledger = dependencies.replicas.ledgerOf(organisation);
    const totals = ledger.totals(organisation);
    return {
      isLargestHolder:
        largestHolder(ledger.grants(organisation)) ===
        dependencies.membership.self.incarnation,
      spendableTokens: grants.spendableTokens,
      largestSpendableTokens: grants.largestSpendableTokens,
      requestedTokens: grants.requestedTokens,
      creditedTokens: totals.creditedTokens,
      unallocatedTokens: totals.unallocatedTokens,
      remainingTokens: totals.creditedTokens - totals.billedTokens,
      demandTokensPerSecond: grants.demandTokensPerSecond,
      totalDemandTokensPerSecond:
        dependencies.bills.demandTokensPerSecond(organisation),
      largestBoundTokens: grants.largestBoundTokens,
      waitingBoundTokens: grants.waitingBoundTokens,
      holders: dependencies.membership.dataCenters.size,
      partitionSeconds: EXPECTED_PARTITION_SECONDS,
      preference: dependencies.preferenceOf(organisation),
      hasWitness:
        dependencies.membership.witnessFor(organisation) !== undefined,
    };
  }

  private async requestGrant(
    grants: OrganisationGrants,
    tokens: number,
    minimumTokens: number,
  ): Promise<void> {
    const {dependencies} = this;
    const {organisation} = grants;
    const grantId = dependencies.random.identifier();
    const witness = dependencies.membership.witnessFor(organisation) ?? '';
    grants.requestedTokens += tokens;
    const submitted = await dependencies.appender.submit(
      ledgerEntry(`grant:${grantId}`, organisation, {
        case: 'grant',
        value: {
          grantId,
          tokens,
          minimumTokens,
          holder: dependencies.membership.self.incarnation,
          witness,
          dataCenter: dependencies.membership.self.dataCenter,
        },
      }),
    );
    grants.requestedTokens -= tokens;
    const granted = dependencies.replicas
      .ledgerOf(organisation)
      .grant(organisation, grantId);
    if (tookEffect(submitted) && granted !== undefined && !granted.closed) {
      this.openHolding(organisation, grantId, granted.tokens, granted.witness);
    }
    this.reviewSleep.wake();
  }

  private openHolding(
    organisation: string,
    grantId: string,
    tokens: number,
    witness: string,
  ): GrantHolding {
    const {self} = this.dependencies.membership;
    const known = this.holding(organisation, grantId);
    if (known !== undefined) {
      return known;
    }
    const holding = new GrantHolding(
      {
        grantId,
        organisation,
        tokens,
        holder: self.incarnation,
        dataCenter: self.dataCenter,
      },
      witness,
    );
    this.forOrganisation(organisation).holdings.set(grantId, holding);
    this.dependencies.eventLog.info('grant opened', {
      organisation,
      grant: grantId,
      tokens,
      witness,
    });
    // Queued before any reservation on the same stream, so the witness has the
    // book when the first reservation arrives. An unreachable witness gets the
    // book when its stream is opened again.
    void this.dependencies.replicator.commit(
      holding,
      holding.book.createOpenedChange(),
    );
    return holding;
  }

  /**
   * Requests a grant at once if a request waits, otherwise at the refill
   * interval.
   */
  private requestAtInterval(
    grants: OrganisationGrants,
    decision: GrantDecision,
  ): void {
    const now = this.dependencies.clock.monotonicMilliseconds();
    if (
      grants.waitingBoundTokens > 0 ||
      now >= (this.nextRefillAt.get(grants.organisation) ?? 0)
    ) {
      this.nextRefillAt.set(
        grants.organisation,
        now + REFILL_INTERVAL_MILLISECONDS,
      );
      void this.requestGrant(
        grants,
        decision.grantRequestTokens,
        decision.minimumTokens,
      );
    }
  }

  private returnAtInterval(grants: OrganisationGrants, tokens: number): void {
    const now = this.dependencies.clock.monotonicMilliseconds();
    if (now >= (this.nextReturnAt.get(grants.organisation) ?? 0)) {
      this.nextReturnAt.set(
        grants.organisation,
        now + RETURN_INTERVAL_MILLISECONDS,
      );
      this.returnTokens(grants, tokens);
    }
  }

  /** Returns idle tokens to the budget, from the smallest holdings first. */
  returnTokens(grants: OrganisationGrants, tokens: number): void {
    let remaining = Math.floor(tokens);
    const holdings = [...grants.holdings.values()]
      .filter(holding => !holding.isReturning && holding.spendableTokens > 0)
      .sort((one, other) => one.spendableTokens - other.spendableTokens);
    for (const holding of holdings) {
      const returned = Math.min(remaining, holding.spendableTokens);
      const change =
        returned > 0 ? holding.book.returnTokens(returned) : undefined;
      if (change !== undefined) {
        remaining -= returned;
        void this.commitReturn(holding, change, returned);
      }
    }
  }

  /**
   * Submits a return once the witnesses have acknowledged it, and with it all
   * earlier changes. The tokens may come from a release or a settlement; a
   * reclaim by a witness without that change would list them as reserved, and
   * they would count twice.
   */
  private async commitReturn(
    holding: GrantHolding,
    change: BookChange,
    tokens: number,
  ): Promise<void> {
    const {replicator} = this.dependencies;
    holding.uncommittedReturns += 1;
    const acknowledged = await replicator.commit(holding, change);
    holding.uncommittedReturns -= 1;
    if (acknowledged === Acknowledgement.Applied) {
      await this.submitReturn(holding, tokens, false);
    } else {
      holding.book.cancelReturn(tokens);
    }
  }

  /**
   * Closes a holding that is settled. All its bills and transfers are on the
   * log, so the free tokens of its book equal those of the grant in the fold.
   */
  async closeHolding(holding: GrantHolding): Promise<void> {
    holding.isReturning = true;
    holding.book.stopReserving();
    const unspent = holding.book.freeTokens;
    if (holding.book.returnTokens(unspent) === undefined) {
      holding.isReturning = false;
      return;
    }
    await this.submitReturn(holding, unspent, true);
    const {organisation} = holding.book.grant;
    this.organisations.get(organisation)?.holdings.delete(holding.grantId);
  }

  private async submitReturn(
    holding: GrantHolding,
    tokens: number,
    closes: boolean,
  ): Promise<void> {
    const {organisation} = holding.book.grant;
    const {verdict} = await this.dependencies.appender.submit(
      ledgerEntry(
        `return:${holding.grantId}:${this.dependencies.random.identifier()}`,
        organisation,
        {case: 'return', value: {grantId: holding.grantId, tokens, closes}},
      ),
    );
    if (verdict.kind === VerdictKind.Refused) {
      this.dependencies.eventLog.warn('return refused', {
        organisation,
        grant: holding.grantId,
        reason: verdict.reason,
      });
    }
  }

  private booksForWitness(witness: string): readonly BookChange[] {
    return this.all.flatMap(grants =>
      [...grants.holdings.values()]
        .filter(
          holding => !holding.isClosed && holding.witnesses.includes(witness),
        )
        .map(holding => holding.createOpenedChange(witness)),
    );
  }
}

/**
 * The budget preference of organisations that the configuration does not
 * contain.
 */
export const DEFAULT_BUDGET_PREFERENCE = BudgetPreference.AVOID_UNCLEAR_BILLS;

import {VerdictKind, type GrantDecision} from '@wisteriadeal/ledger';
import {
  BudgetPreference,
  type BookChange,
  type Transfer,
} from '@wisteriadeal/schema';

import {GrantHolding} from './grant-holding.js';
import {tookEffect} from './ledger-appender.js';
import {ledgerEntry} from './ledger-entries.js';
import type {GrantParts} from './grant-parts.js';
import {holderOfMost} from './holder-of-most.js';
import {OrganisationGrants} from './organisation-grants.js';
import {WakeUp} from './wake-up.js';

/** The users' pages: regions lose each other for an hour now and then. */
export const EXPECTED_PARTITION_SECONDS = 3_600;

/** Between two refills ahead of need. */
const REFILL_PAUSE_MILLISECONDS = 500;
/** Between two returns of an organisation's idle tokens. */
const RETURN_PAUSE_MILLISECONDS = 2_000;

/** Holds this keeper's grants of all organisations, and asks for more. */
export class GrantManager {
  private readonly organisations = new Map<string, OrganisationGrants>();
  private readonly nextRefill = new Map<string, number>();
  private readonly nextReturn = new Map<string, number>();
  private readonly wakeUp: WakeUp;

  constructor(private readonly parts: GrantParts) {
    this.wakeUp = new WakeUp(parts.clock);
    parts.links.setSnapshotSource(witness => this.snapshot(witness));
  }

  /** The grants of an organisation; made where there are none yet. */
  of(organisation: string): OrganisationGrants {
    const known = this.organisations.get(organisation);
    if (known !== undefined) {
      return known;
    }
    const grants = new OrganisationGrants(
      organisation,
      this.parts.replicator,
      this.parts.clock,
      () => {
        this.wakeUp.wake();
      },
      () => {
        const ledger = this.parts.replicas.ledgerOf(organisation);
        const {creditedTokens, billedTokens} = ledger.totals(organisation);
        return creditedTokens === 0 ? undefined : creditedTokens - billedTokens;
      },
    );
    this.organisations.set(organisation, grants);
    return grants;
  }

  /** Every organisation of which something is held or wanted. */
  get all(): readonly OrganisationGrants[] {
    return [...this.organisations.values()];
  }

  /** A held grant. */
  holding(organisation: string, grantId: string): GrantHolding | undefined {
    return this.organisations.get(organisation)?.holdings.get(grantId);
  }

  /** Resolves when something is wanted, or after the delay. */
  async untilWanted(milliseconds: number, signal: AbortSignal): Promise<void> {
    await this.wakeUp.sleep(milliseconds, signal);
  }

  /** Lets the policy decide on one organisation. */
  review(organisation: string): void {
    const grants = this.of(organisation);
    const decision = this.parts.policy.decide(this.situation(grants));
    if (decision.askTokens > 0 && grants.requestedTokens === 0) {
      this.askAtPace(grants, decision);
    } else if (decision.returnTokens > 0) {
      this.returnAtPace(grants, decision.returnTokens);
    }
  }

  /** Takes over what another holder transferred. */
  accept(organisation: string, transfer: Transfer): GrantHolding {
    return this.open(
      organisation,
      transfer.transferId,
      transfer.tokens,
      transfer.toWitness,
    );
  }

  private situation(grants: OrganisationGrants) {
    const {parts} = this;
    const {organisation} = grants;
    const ledger = parts.replicas.ledgerOf(organisation);
    const totals = ledger.totals(organisation);
    return {
      holdsMost:
        holderOfMost(ledger.grants(organisation)) ===
        parts.membership.self.incarnation,
      spendableTokens: grants.spendableTokens,
      largestSpendableTokens: grants.largestSpendableTokens,
      requestedTokens: grants.requestedTokens,
      creditedTokens: totals.creditedTokens,
      unallocatedTokens: totals.unallocatedTokens,
      remainingTokens: totals.creditedTokens - totals.billedTokens,
      demandTokensPerSecond: grants.demandTokensPerSecond,
      totalDemandTokensPerSecond:
        parts.bills.demandTokensPerSecond(organisation),
      largestBoundTokens: grants.largestBoundTokens,
      waitingBoundTokens: grants.waitingBoundTokens,
      holders: parts.membership.dataCenters.size,
      partitionSeconds: EXPECTED_PARTITION_SECONDS,
      preference: parts.preferenceOf(organisation),
      hasWitness: parts.membership.witnessFor(organisation) !== undefined,
    };
  }

  private async ask(
    grants: OrganisationGrants,
    tokens: number,
    minimumTokens: number,
  ): Promise<void> {
    const {parts} = this;
    const {organisation} = grants;
    const grantId = parts.random.identifier();
    const witness = parts.membership.witnessFor(organisation) ?? '';
    grants.requestedTokens += tokens;
    const own = await parts.appender.submit(
      ledgerEntry(`grant:${grantId}`, organisation, {
        case: 'grant',
        value: {
          grantId,
          tokens,
          minimumTokens,
          holder: parts.membership.self.incarnation,
          witness,
          dataCenter: parts.membership.self.dataCenter,
        },
      }),
    );
    grants.requestedTokens -= tokens;
    const given = parts.replicas
      .ledgerOf(organisation)
      .grant(organisation, grantId);
    if (tookEffect(own) && given !== undefined && !given.closed) {
      this.open(organisation, grantId, given.tokens, given.witness);
    }
    this.wakeUp.wake();
  }

  private open(
    organisation: string,
    grantId: string,
    tokens: number,
    witness: string,
  ): GrantHolding {
    const {self} = this.parts.membership;
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
    this.of(organisation).holdings.set(grantId, holding);
    this.parts.eventLog.info('grant opened', {
      organisation,
      grant: grantId,
      tokens,
      witness,
    });
    // Queued before any reservation on the same stream, so the witness knows the
    // book by then; a witness out of reach gets it with the next stream.
    void this.parts.replicator.commit(holding, holding.book.opened());
    return holding;
  }

  /** A waiting request asks at once; refills ahead of need share a pace. */
  private askAtPace(grants: OrganisationGrants, decision: GrantDecision): void {
    const now = this.parts.clock.monotonicMilliseconds();
    if (
      grants.waitingBoundTokens > 0 ||
      now >= (this.nextRefill.get(grants.organisation) ?? 0)
    ) {
      this.nextRefill.set(grants.organisation, now + REFILL_PAUSE_MILLISECONDS);
      void this.ask(grants, decision.askTokens, decision.minimumTokens);
    }
  }

  /**
   * Load: holders whose shares shift against each other. Harm: tokens that go
   * back and are asked for again as fast as the log answers. Two seconds keep
   * that under one append a second for each organisation and holder.
   */
  private returnAtPace(grants: OrganisationGrants, tokens: number): void {
    const now = this.parts.clock.monotonicMilliseconds();
    if (now >= (this.nextReturn.get(grants.organisation) ?? 0)) {
      this.nextReturn.set(grants.organisation, now + RETURN_PAUSE_MILLISECONDS);
      this.giveBack(grants, tokens);
    }
  }

  /** Gives idle tokens back, from the smallest holdings first. */
  giveBack(grants: OrganisationGrants, tokens: number): void {
    let left = Math.floor(tokens);
    const holdings = [...grants.holdings.values()]
      .filter(holding => !holding.returning && holding.spendableTokens > 0)
      .sort((one, other) => one.spendableTokens - other.spendableTokens);
    for (const holding of holdings) {
      const part = Math.min(left, holding.spendableTokens);
      if (part > 0 && holding.book.giveBack(part) !== undefined) {
        left -= part;
        void this.submitReturn(holding, part, false);
      }
    }
  }

  /**
   * Closes a holding that is settled: every bill and transfer of it stands on
   * the log, so the fold's spare tokens are exactly the rest.
   */
  async closeHolding(holding: GrantHolding): Promise<void> {
    holding.returning = true;
    holding.book.stopReserving();
    const rest = holding.book.freeTokens;
    if (holding.book.giveBack(rest) === undefined) {
      holding.returning = false;
      return;
    }
    await this.submitReturn(holding, rest, true);
    const {organisation} = holding.book.opening;
    this.organisations.get(organisation)?.holdings.delete(holding.grantId);
  }

  private async submitReturn(
    holding: GrantHolding,
    tokens: number,
    closes: boolean,
  ): Promise<void> {
    const {organisation} = holding.book.opening;
    const {verdict} = await this.parts.appender.submit(
      ledgerEntry(
        `return:${holding.grantId}:${this.parts.random.identifier()}`,
        organisation,
        {case: 'return', value: {grantId: holding.grantId, tokens, closes}},
      ),
    );
    if (verdict.kind === VerdictKind.Refused) {
      this.parts.eventLog.warn('return refused', {
        organisation,
        grant: holding.grantId,
        reason: verdict.reason,
      });
    }
  }

  private snapshot(witness: string): readonly BookChange[] {
    return this.all.flatMap(grants =>
      [...grants.holdings.values()]
        .filter(
          holding => !holding.isClosed && holding.witnesses.includes(witness),
        )
        .map(holding => holding.book.opened()),
    );
  }
}

/** A preference where the configuration names none. */
export const DEFAULT_PREFERENCE = BudgetPreference.AVOID_UNCLEAR_BILLS;

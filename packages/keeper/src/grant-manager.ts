import {VerdictKind, type GrantPolicy} from '@wisteriadeal/ledger';
import type {Clock, RandomSource} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {
  BudgetPreference,
  type BookChange,
  type GrantState,
  type Transfer,
} from '@wisteriadeal/schema';

import type {BillObserver} from './bill-observer.js';
import type {BookReplicator} from './book-replicator.js';
import {GrantHolding} from './grant-holding.js';
import {tookEffect, type LedgerAppender} from './ledger-appender.js';
import {ledgerEntry} from './ledger-entries.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {MembershipTable} from './membership-table.js';
import {OrganisationGrants} from './organisation-grants.js';
import type {PlatformHealth} from './platform-health.js';
import {WakeUp} from './wake-up.js';
import type {WitnessLinks} from './witness-links.js';

/** The users' pages: regions lose each other for an hour now and then. */
export const EXPECTED_PARTITION_SECONDS = 3_600;

/** What a keeper needs to hold grants. */
export interface GrantParts {
  readonly membership: MembershipTable;
  readonly replicas: LedgerReplicas;
  readonly appender: LedgerAppender;
  readonly replicator: BookReplicator;
  readonly links: WitnessLinks;
  readonly health: PlatformHealth;
  readonly bills: BillObserver;
  readonly policy: GrantPolicy;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly eventLog: EventLog;
  readonly preferenceOf: (organisation: string) => BudgetPreference;
}

/** Holds this keeper's grants of all organisations, and asks for more. */
export class GrantManager {
  private readonly organisations = new Map<string, OrganisationGrants>();
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
      void this.ask(grants, decision.askTokens, decision.minimumTokens);
    } else if (decision.returnTokens > 0) {
      this.giveBack(grants, decision.returnTokens);
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
          holding => !holding.fenced && holding.witnesses.includes(witness),
        )
        .map(holding => holding.book.opened()),
    );
  }
}

function holderOfMost(grants: readonly GrantState[]): string | undefined {
  const tokens = new Map<string, number>();
  for (const grant of grants.filter(candidate => !candidate.closed)) {
    const held = tokens.get(grant.holder) ?? 0;
    tokens.set(grant.holder, held + grant.tokens - grant.billedTokens);
  }
  return [...tokens].sort((one, other) => other[1] - one[1])[0]?.[0];
}

/** A preference where the configuration names none. */
export const DEFAULT_PREFERENCE = BudgetPreference.AVOID_UNCLEAR_BILLS;

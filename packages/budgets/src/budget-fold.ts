import {isTokenAmount} from '@wisteriadeal/ledger';
import type {
  BudgetRecord,
  GrantLent,
  GrantRequested,
  GrantReturned,
  HolderOpened,
} from '@wisteriadeal/schema';

import {
  heldTokens,
  pooledShare,
  pooledTokens,
  type BudgetView,
  type ClosedGrant,
  type FoldOutcome,
  type GrantVerdict,
  type HolderOpening,
  type RecordedLoan,
} from './budget-view.js';

/** One process that holds grants. */
export interface FoldedHolder {
  readonly incarnation: string;
  readonly host: string;
  /** `IP:port` where other holders reach it. */
  readonly address: string;
  /** Where it is; empty if it did not state this. */
  readonly dataCenter: string;
  readonly region: string;
  lastSequence: number;
  /** Grants by organisation. Modified only by `BudgetFold.setGrant`. */
  readonly grants: Map<string, FoldedGrant>;
}

/** Tokens of one organisation's budget that one process holds. */
export interface FoldedGrant {
  /** Tokens granted or borrowed and not returned or lent, including those spent. */
  readonly outstanding: number;
  /**
   * Unspent tokens that the process last reported. The spending limit does not depend
   * on it.
   */
  readonly held: number;
}

const NO_GRANT: FoldedGrant = {outstanding: 0, held: 0};

/** One organisation's budget. */
export interface FoldedOrganisation {
  prepaid: number;
  configurationVersion: number;
  /** Tokens granted to processes that have ended, and not returned by them. */
  closedCharge: number;
  /** Sum of `outstanding` over all holders' grants, updated with each change. */
  outstanding: number;
  /** Sum of `held` over all holders' grants, updated with each change. */
  held: number;
  /** Number of holders with `outstanding` tokens, updated with each change. */
  users: number;
}

/**
 * A holder whose use exceeds its even share gets at most a quarter of the tokens that may
 * still be held. This happens when all of an organisation's callers use one host.
 */
const HEADROOM_DIVISOR = 4;

/**
 * Number of closed incarnations that are kept. A delayed duplicate of an ended
 * process's first record must not open it again. Duplicates arrive seconds late, so
 * remembering a few restarts of each host is enough.
 */
const MAXIMUM_CLOSED_INCARNATIONS = 4_096;

/**
 * Computes each process's grants from the records of the budget log. The fold is
 * deterministic: every process that folds the same records has the same state. A
 * verdict is always taken from the fold, never from the answer to an append.
 *
 * Spending cannot exceed a budget: grants are made only from unallocated tokens, a
 * process spends only what it was granted, and tokens that an ended process had not
 * returned count as spent.
 */
export class BudgetFold {
  readonly organisations = new Map<string, FoldedOrganisation>();
  readonly holders = new Map<string, FoldedHolder>();
  readonly closedIncarnations = new Set<string>();
  /** Number of holders in each data centre. */
  private readonly dataCenters = new Map<string, number>();

  /** @param nextOffset Offset of the next record to apply. */
  constructor(public nextOffset = 0) {}

  /**
   * Applies the record at `nextOffset`.
   *
   * @param record Undefined for bytes that are not a budget record: they advance the
   *     offset and change nothing else.
   * @returns The verdict for a grant request, the loan for a record of a loan, the
   *     opening and the closed grants for a process's first record, else undefined.
   * @example
   * ```ts
   * const outcome = fold.apply(record);
   * ```
   */
  apply(record: BudgetRecord | undefined): FoldOutcome | undefined {
    this.nextOffset++;
    if (record === undefined) {
      return undefined;
    }
    const {change} = record;
    if (change.case === 'opened') {
      return this.openHolder(record, change.value);
    }
    const holder = this.holders.get(record.incarnation);
    if (holder === undefined || record.sequence <= holder.lastSequence) {
      return undefined;
    }
    holder.lastSequence = record.sequence;
    if (change.case === 'returned') {
      this.applyReturn(holder, change.value);
      return undefined;
    }
    if (change.case === 'lent') {
      return this.applyLoan(holder, change.value);
    }
    return change.case === 'requested'
      ? this.applyGrantRequest(holder, change.value)
      : undefined;
  }

  /** Whether the fold still accepts records of this process. */
  isOpen(incarnation: string): boolean {
    return this.holders.has(incarnation);
  }

  /** The budget of one organisation; undefined before any record names it. */
  view(organisation: string): BudgetView | undefined {
    const budget = this.organisations.get(organisation);
    if (budget === undefined) {
      return undefined;
    }
    const {outstanding, held} = budget;
    const unallocated = budget.prepaid - budget.closedCharge - outstanding;
    return {
      prepaid: budget.prepaid,
      unallocated,
      remaining: unallocated + held,
      spent: budget.prepaid - unallocated - held,
      holders: this.holders.size,
      dataCenters: this.dataCenters.size,
      users: budget.users,
    };
  }

  /**
   * Replaces a holder's grant and updates the organisation's sums, so that the cost of
   * `view` does not depend on the number of hosts.
   */
  setGrant(
    holder: FoldedHolder,
    organisation: string,
    grant: FoldedGrant,
  ): void {
    const before = holder.grants.get(organisation) ?? NO_GRANT;
    const budget = this.organisation(organisation);
    budget.outstanding += grant.outstanding - before.outstanding;
    budget.held += grant.held - before.held;
    budget.users +=
      Number(grant.outstanding > 0) - Number(before.outstanding > 0);
    holder.grants.set(organisation, grant);
  }

  /** Charges tokens that ended processes may have spent. */
  charge(organisation: string, tokens: number): void {
    this.organisation(organisation).closedCharge += tokens;
  }

  /** Closes all holders: what they had been granted and not returned counts as spent. */
  closeHolders(): void {
    for (const holder of [...this.holders.values()]) {
      this.closeHolder(holder);
    }
  }

  /** Adds a process that may hold grants. */
  addHolder(holder: FoldedHolder): void {
    this.holders.set(holder.incarnation, holder);
    this.countHolder(holder, 1);
  }

  private countHolder({dataCenter}: FoldedHolder, change: number): void {
    const count = (this.dataCenters.get(dataCenter) ?? 0) + change;
    if (count > 0) {
      this.dataCenters.set(dataCenter, count);
    } else {
      this.dataCenters.delete(dataCenter);
    }
  }

  private openHolder(
    record: BudgetRecord,
    opened: HolderOpened,
  ): HolderOpening | undefined {
    const {incarnation, sequence} = record;
    const {host, address, dataCenter, region} = opened;
    if (
      this.holders.has(incarnation) ||
      this.closedIncarnations.has(incarnation)
    ) {
      return undefined;
    }
    const closed: ClosedGrant[] = [];
    for (const holder of this.holders.values()) {
      if (holder.host === host) {
        closed.push(...this.closeHolder(holder));
      }
    }
    this.addHolder({
      incarnation,
      host,
      address,
      dataCenter,
      region,
      lastSequence: sequence,
      grants: new Map(),
    });
    return {kind: 'opening', incarnation, closed};
  }

  private closeHolder(holder: FoldedHolder): readonly ClosedGrant[] {
    const closed: ClosedGrant[] = [];
    for (const [organisation, grant] of [...holder.grants]) {
      this.organisation(organisation).closedCharge += grant.outstanding;
      this.setGrant(holder, organisation, NO_GRANT);
      closed.push({
        organisation,
        charged: grant.outstanding,
        lastHeld: grant.held,
      });
    }
    this.holders.delete(holder.incarnation);
    this.countHolder(holder, -1);
    this.closedIncarnations.add(holder.incarnation);
    const [oldest] = this.closedIncarnations;
    if (
      oldest !== undefined &&
      this.closedIncarnations.size > MAXIMUM_CLOSED_INCARNATIONS
    ) {
      this.closedIncarnations.delete(oldest);
    }
    return closed;
  }

  private applyReturn(holder: FoldedHolder, returned: GrantReturned): void {
    const grant = holder.grants.get(returned.organisation);
    if (grant === undefined || !isTokenAmount(returned.amount)) {
      return;
    }
    const amount = Math.min(returned.amount, grant.outstanding);
    this.setGrant(holder, returned.organisation, {
      outstanding: grant.outstanding - amount,
      held: returned.held,
    });
  }

  private applyLoan(
    lender: FoldedHolder,
    lent: GrantLent,
  ): RecordedLoan | undefined {
    const grant = lender.grants.get(lent.organisation);
    if (grant === undefined || !isTokenAmount(lent.amount)) {
      return undefined;
    }
    const amount = Math.min(lent.amount, grant.outstanding);
    this.setGrant(lender, lent.organisation, {
      outstanding: grant.outstanding - amount,
      held: lent.held,
    });
    const borrower = this.holders.get(lent.borrower);
    if (borrower === undefined) {
      this.organisation(lent.organisation).closedCharge += amount;
      return undefined;
    }
    const borrowed = borrower.grants.get(lent.organisation) ?? NO_GRANT;
    this.setGrant(borrower, lent.organisation, {
      ...borrowed,
      outstanding: borrowed.outstanding + amount,
    });
    return {
      kind: 'loan',
      incarnation: lent.borrower,
      organisation: lent.organisation,
      loan: lent.loan,
      amount,
    };
  }

  private applyGrantRequest(
    holder: FoldedHolder,
    request: GrantRequested,
  ): GrantVerdict {
    const budget = this.organisation(request.organisation);
    if (
      request.configurationVersion > budget.configurationVersion &&
      isTokenAmount(request.prepaid)
    ) {
      budget.configurationVersion = request.configurationVersion;
      budget.prepaid = request.prepaid;
    }
    const {outstanding} = holder.grants.get(request.organisation) ?? NO_GRANT;
    const held = isTokenAmount(request.held) ? request.held : 0;
    this.setGrant(holder, request.organisation, {outstanding, held});
    const granted = this.grantableTokens(request, held);
    this.setGrant(holder, request.organisation, {
      outstanding: outstanding + granted,
      held: held + granted,
    });
    return {
      kind: 'grant',
      incarnation: holder.incarnation,
      sequence: holder.lastSequence,
      organisation: request.organisation,
      granted,
    };
  }

  private grantableTokens(request: GrantRequested, held: number): number {
    const view = this.view(request.organisation);
    if (
      view === undefined ||
      !isTokenAmount(request.least) ||
      !isTokenAmount(request.wish) ||
      view.unallocated < request.least
    ) {
      return 0;
    }
    const share = refillLimit(view, held, request.pooledPart);
    if (share >= request.least) {
      return Math.max(0, Math.min(request.wish, share));
    }
    return request.urgent ? request.least : 0;
  }

  private organisation(name: string): FoldedOrganisation {
    let organisation = this.organisations.get(name);
    if (organisation === undefined) {
      organisation = {
        prepaid: 0,
        configurationVersion: -1,
        closedCharge: 0,
        outstanding: 0,
        held: 0,
        users: 0,
      };
      this.organisations.set(name, organisation);
    }
    return organisation;
  }
}

/** Maximum tokens that a holder may be granted while no request waits for them. */
function refillLimit(
  view: BudgetView,
  held: number,
  requestedPart: number,
): number {
  const part = requestedPart > 0 && requestedPart <= 1 ? requestedPart : 0;
  const headroom = Math.max(0, pooledTokens(view, part) - heldTokens(view));
  const evenShare = pooledShare(view, part) - held;
  const share = Math.max(evenShare, Math.floor(headroom / HEADROOM_DIVISOR));
  return Math.min(share, headroom, view.unallocated);
}

import {isTokenAmount} from '@wisteriadeal/ledger';
import type {
  BudgetRecord,
  GrantLent,
  GrantRequested,
  GrantReturned,
  HolderOpened,
} from '@wisteriadeal/schema';

import {
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
  /** Where it is asked for loans. */
  readonly address: string;
  lastSequence: number;
  /** Changed by `BudgetFold.setGrant` alone. */
  readonly grants: Map<string, FoldedGrant>;
}

/** What one process holds of one organisation's budget. */
export interface FoldedGrant {
  /** Granted or borrowed, and not returned or lent; what was spent is part of it. */
  readonly outstanding: number;
  /** What the process last said that it had in hand; no safety rests on it. */
  readonly held: number;
}

const NO_GRANT: FoldedGrant = {outstanding: 0, held: 0};

/** One organisation's budget. */
export interface FoldedOrganisation {
  prepaid: number;
  configurationVersion: number;
  /** Granted to processes that have ended, and not returned by them. */
  closedCharge: number;
  /** Sums over the grants of all holders; kept as they change. */
  outstanding: number;
  held: number;
}

/**
 * A holder whose use asks for more than its even share gets at most this part of
 * what may still be held. Load: all of an organisation's callers come to one host.
 */
const BUSY_DIVISOR = 4;

/**
 * A late copy of an ended process's first record must not open it again. Copies
 * come seconds late, so that some restarts of each host are enough.
 */
const REMEMBERED_CLOSED_INCARNATIONS = 4_096;

/**
 * Decides who holds what of each budget. It is deterministic: every process that
 * folds the same records has the same state, and a verdict is what the fold says,
 * never what an append answered.
 *
 * Spend can't pass a budget: a grant comes only out of what is unallocated, a
 * process spends only what it was granted, and what an ended process had not
 * returned counts as spent.
 */
export class BudgetFold {
  readonly organisations = new Map<string, FoldedOrganisation>();
  readonly holders = new Map<string, FoldedHolder>();
  readonly closedIncarnations = new Set<string>();

  /** @param nextOffset Offset of the next record that it takes. */
  constructor(public nextOffset = 0) {}

  /**
   * Takes the record at `nextOffset`.
   *
   * @param record Undefined for bytes that are no budget record: they count as
   *     an offset and change nothing.
   * @returns The verdict where the record asked for a grant, and the loan where it
   *     tells of one.
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
      return this.open(record, change.value);
    }
    const holder = this.holders.get(record.incarnation);
    if (holder === undefined || record.sequence <= holder.lastSequence) {
      return undefined;
    }
    holder.lastSequence = record.sequence;
    if (change.case === 'returned') {
      this.takeBack(holder, change.value);
      return undefined;
    }
    if (change.case === 'lent') {
      return this.lend(holder, change.value);
    }
    return change.case === 'requested'
      ? this.decide(holder, change.value)
      : undefined;
  }

  /** Whether records of this process still count. */
  isOpen(incarnation: string): boolean {
    return this.holders.has(incarnation);
  }

  /** The budget of one organisation; undefined before any record named it. */
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
      rest: unallocated + held,
      spent: budget.prepaid - unallocated - held,
      holders: this.holders.size,
    };
  }

  /**
   * Puts a holder's grant to what it is from now on. The sums are kept here, so that a
   * view of a budget costs the same whatever the number of hosts.
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
    holder.grants.set(organisation, grant);
  }

  private open(
    record: BudgetRecord,
    opened: HolderOpened,
  ): HolderOpening | undefined {
    const {incarnation, sequence} = record;
    const {host, address} = opened;
    if (
      this.holders.has(incarnation) ||
      this.closedIncarnations.has(incarnation)
    ) {
      return undefined;
    }
    const closed: ClosedGrant[] = [];
    for (const holder of this.holders.values()) {
      if (holder.host === host) {
        closed.push(...this.close(holder));
      }
    }
    this.holders.set(incarnation, {
      incarnation,
      host,
      address,
      lastSequence: sequence,
      grants: new Map(),
    });
    return {kind: 'opening', incarnation, closed};
  }

  private close(holder: FoldedHolder): readonly ClosedGrant[] {
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
    this.closedIncarnations.add(holder.incarnation);
    const [oldest] = this.closedIncarnations;
    if (
      oldest !== undefined &&
      this.closedIncarnations.size > REMEMBERED_CLOSED_INCARNATIONS
    ) {
      this.closedIncarnations.delete(oldest);
    }
    return closed;
  }

  private takeBack(holder: FoldedHolder, returned: GrantReturned): void {
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

  private lend(
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

  private decide(holder: FoldedHolder, asked: GrantRequested): GrantVerdict {
    const budget = this.organisation(asked.organisation);
    if (
      asked.configurationVersion > budget.configurationVersion &&
      isTokenAmount(asked.prepaid)
    ) {
      budget.configurationVersion = asked.configurationVersion;
      budget.prepaid = asked.prepaid;
    }
    const {outstanding} = holder.grants.get(asked.organisation) ?? NO_GRANT;
    const held = isTokenAmount(asked.held) ? asked.held : 0;
    this.setGrant(holder, asked.organisation, {outstanding, held});
    const granted = this.grantable(asked, held);
    this.setGrant(holder, asked.organisation, {
      outstanding: outstanding + granted,
      held: held + granted,
    });
    return {
      kind: 'grant',
      incarnation: holder.incarnation,
      sequence: holder.lastSequence,
      organisation: asked.organisation,
      granted,
    };
  }

  private grantable(asked: GrantRequested, held: number): number {
    const view = this.view(asked.organisation);
    if (
      view === undefined ||
      !isTokenAmount(asked.least) ||
      !isTokenAmount(asked.wish) ||
      view.unallocated < asked.least
    ) {
      return 0;
    }
    const share = refillShare(view, held, asked.pooledPart);
    if (share >= asked.least) {
      return Math.max(0, Math.min(asked.wish, share));
    }
    return asked.urgent ? asked.least : 0;
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
      };
      this.organisations.set(name, organisation);
    }
    return organisation;
  }
}

/** What a holder may have without a request that waits for it. */
function refillShare(
  view: BudgetView,
  held: number,
  askedPart: number,
): number {
  const part = askedPart > 0 && askedPart <= 1 ? askedPart : 0;
  const heldByAll = view.rest - view.unallocated;
  const room = Math.max(0, pooledTokens(view, part) - heldByAll);
  const even = pooledShare(view, part) - held;
  const share = Math.max(even, Math.floor(room / BUSY_DIVISOR));
  return Math.min(share, room, view.unallocated);
}

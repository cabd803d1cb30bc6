import {RateEstimate, VerdictKind} from '@wisteriadeal/ledger';
import type {Clock} from '@wisteriadeal/platform';
import type {Bill} from '@wisteriadeal/schema';

import {LedgerListener, type FoldedEntry} from './ledger-replica.js';
import {DEMAND_HALF_LIFE_MILLISECONDS} from './organisation-grants.js';

/** Bills kept in detail for explanations, an organisation. */
const KEPT_BILLS = 2_000;

interface ObservedOrganisation {
  readonly rate: RateEstimate;
  readonly bills: Map<string, Bill>;
}

/** What the bills on the log tell: demand everywhere, and details for people. */
export class BillObserver extends LedgerListener {
  private readonly organisations = new Map<string, ObservedOrganisation>();

  constructor(private readonly clock: Clock) {
    super();
  }

  override folded({entry, verdict}: FoldedEntry): void {
    if (verdict.kind !== VerdictKind.Accepted) {
      return;
    }
    if (entry.kind.case === 'bill') {
      this.observe(entry.organisation, entry.kind.value);
    } else if (entry.kind.case === 'reclaim') {
      for (const bill of entry.kind.value.settled) {
        this.observe(entry.organisation, bill);
      }
    }
  }

  override restored(): void {
    // The details of skipped bills are gone; their amounts are in the state.
  }

  /** Tokens billed a second lately, by all holders together. */
  demandTokensPerSecond(organisation: string): number {
    return (
      this.organisations
        .get(organisation)
        ?.rate.perSecond(this.clock.monotonicMilliseconds()) ?? 0
    );
  }

  /** The latest bills, newest last. */
  billsOf(organisation: string): readonly Bill[] {
    return [...(this.organisations.get(organisation)?.bills.values() ?? [])];
  }

  /** The bill of a request with its organisation. */
  billOf(
    requestId: string,
  ): {readonly organisation: string; readonly bill: Bill} | undefined {
    for (const [organisation, {bills}] of this.organisations) {
      const bill = bills.get(requestId);
      if (bill !== undefined) {
        return {organisation, bill};
      }
    }
    return undefined;
  }

  private observe(organisation: string, bill: Bill): void {
    let observed = this.organisations.get(organisation);
    if (observed === undefined) {
      observed = {
        rate: new RateEstimate(DEMAND_HALF_LIFE_MILLISECONDS),
        bills: new Map(),
      };
      this.organisations.set(organisation, observed);
    }
    if (observed.bills.has(bill.requestId)) {
      return;
    }
    observed.rate.add(bill.tokens, this.clock.monotonicMilliseconds());
    observed.bills.set(bill.requestId, bill);
    for (const requestId of observed.bills.keys()) {
      if (observed.bills.size <= KEPT_BILLS) {
        return;
      }
      observed.bills.delete(requestId);
    }
  }
}

import {RateEstimate, VerdictKind} from '@wisteriadeal/ledger';
import type {Clock} from '@wisteriadeal/platform';
import type {Bill} from '@wisteriadeal/schema';

import {LedgerListener, type FoldedEntry} from './ledger-replica.js';
import {DEMAND_HALF_LIFE_MILLISECONDS} from './organisation-grants.js';

/**
 * Bills kept in memory per organisation for explanations; older ones are
 * dropped.
 */
const MAXIMUM_BILLS_PER_ORGANISATION = 2_000;

interface OrganisationBills {
  readonly rate: RateEstimate;
  readonly bills: Map<string, Bill>;
}

/**
 * Collects the bills on the log: the token demand per organisation across all
 * holders, and the latest bills for explanations.
 */
export class BillObserver extends LedgerListener {
  private readonly organisations = new Map<string, OrganisationBills>();

  constructor(private readonly clock: Clock) {
    super();
  }

  override entryFolded({entry, verdict}: FoldedEntry): void {
    if (verdict.kind !== VerdictKind.Accepted) {
      return;
    }
    if (entry.kind.case === 'bill') {
      this.recordBill(entry.organisation, entry.kind.value);
    } else if (entry.kind.case === 'reclaim') {
      for (const bill of entry.kind.value.settled) {
        this.recordBill(entry.organisation, bill);
      }
    }
  }

  override checkpointRestored(): void {
    // A checkpoint holds the billed amounts but not the skipped bills, so these
    // can't be listed.
  }

  /** Recently billed tokens per second, summed over all holders. */
  demandTokensPerSecond(organisation: string): number {
    return (
      this.organisations
        .get(organisation)
        ?.rate.perSecond(this.clock.monotonicMilliseconds()) ?? 0
    );
  }

  /** Returns the latest bills of an organisation, newest last. */
  billsOf(organisation: string): readonly Bill[] {
    return [...(this.organisations.get(organisation)?.bills.values() ?? [])];
  }

  /** Returns the bill of a request with its organisation. */
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

  private recordBill(organisation: string, bill: Bill): void {
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
      if (observed.bills.size <= MAXIMUM_BILLS_PER_ORGANISATION) {
        return;
      }
      observed.bills.delete(requestId);
    }
  }
}

import {fromBinary} from '@bufbuild/protobuf';
import {LedgerFold, VerdictKind} from '@wisteriadeal/ledger';
import type {LogClient} from '@wisteriadeal/platform';
import {
  LedgerBatchSchema,
  type Bill,
  type GrantState,
} from '@wisteriadeal/schema';

const RECORDS_PER_PAGE = 1_000;

/** One organisation's token totals in the ledger. */
export interface OrganisationAudit {
  readonly organisation: string;
  readonly creditedTokens: number;
  readonly billedTokens: number;
  readonly unallocatedTokens: number;
  /** Tokens in grants, neither billed nor returned. */
  readonly grantedTokens: number;
}

/** The state that results from folding all ledger streams. */
export interface LedgerAudit {
  readonly organisations: readonly OrganisationAudit[];
  /** The accepted bill of each request, by request identifier. */
  readonly bills: ReadonlyMap<string, Bill>;
  /** Grants that contain unbilled tokens. */
  readonly openGrants: readonly GrantState[];
  /** Accepted bills after the first one of the same request identifier. */
  readonly billedTwice: number;
  readonly records: number;
}

class AuditReader {
  readonly organisations: OrganisationAudit[] = [];
  readonly bills = new Map<string, Bill>();
  readonly openGrants: GrantState[] = [];
  billedTwice = 0;
  records = 0;

  async readStream(log: LogClient, stream: string): Promise<void> {
    const fold = new LedgerFold();
    for (;;) {
      const page = await log.read(stream, fold.nextOffset, RECORDS_PER_PAGE, 0);
      for (const record of page.records) {
        this.records++;
        this.apply(fold, record.offset, record.payload);
      }
      if (page.records.length === 0) {
        break;
      }
    }
    for (const organisation of fold.organisationNames) {
      const grants = fold.grants(organisation);
      const grantedTokens = grants.reduce(
        (sum, grant) => sum + grant.tokens - grant.billedTokens,
        0,
      );
      this.openGrants.push(
        ...grants.filter(({tokens, billedTokens}) => tokens > billedTokens),
      );
      const totals = fold.totals(organisation);
      this.organisations.push({organisation, grantedTokens, ...totals});
    }
  }

  private apply(fold: LedgerFold, offset: number, payload: Uint8Array): void {
    const verdicts = fold.apply(offset, payload);
    const {entries} = fromBinary(LedgerBatchSchema, payload);
    for (const [index, verdict] of verdicts.entries()) {
      const entry = entries[index];
      if (verdict.kind !== VerdictKind.Accepted) {
        continue;
      }
      if (entry?.kind.case === 'bill') {
        this.recordBill(entry.kind.value);
      } else if (entry?.kind.case === 'reclaim') {
        this.recordReclaimedBills(
          fold,
          entry.organisation,
          entry.kind.value.settled,
        );
      }
    }
  }

  /**
   * A reclaim bills the requests that the witness recorded as settled, unless they were
   * billed before.
   */
  private recordReclaimedBills(
    fold: LedgerFold,
    organisation: string,
    settled: readonly Bill[],
  ): void {
    for (const bill of settled) {
      const isBilled = fold.isBilled(organisation, bill.requestId);
      if (isBilled && !this.bills.has(bill.requestId)) {
        this.bills.set(bill.requestId, bill);
      }
    }
  }

  private recordBill(bill: Bill): void {
    if (this.bills.has(bill.requestId)) {
      this.billedTwice++;
    } else {
      this.bills.set(bill.requestId, bill);
    }
  }
}

/**
 * Reads and folds all ledger streams from their start.
 *
 * @example
 * ```ts
 * const audit = await auditLedger(fleet.log, plan.ledgerStreams);
 * ```
 */
export async function auditLedger(
  log: LogClient,
  ledgerStreams: number,
): Promise<LedgerAudit> {
  const reader = new AuditReader();
  for (let index = 0; index < ledgerStreams; index++) {
    await reader.readStream(log, `ledger-${index}`);
  }
  return reader;
}

import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  LedgerEntrySchema,
  type Bill,
  type LedgerEntry,
  type Transfer,
} from '@wisteriadeal/schema';

type EntryKind = NonNullable<
  MessageInitShape<typeof LedgerEntrySchema>['kind']
>;

/**
 * An entry.
 *
 * @example
 * ```ts
 * ledgerEntry('return:g:1', 'org', {case: 'return', value: {grantId: 'g'}});
 * ```
 */
export function ledgerEntry(
  entryId: string,
  organisation: string,
  kind: EntryKind,
): LedgerEntry {
  return create(LedgerEntrySchema, {entryId, organisation, kind});
}

/** The entry of a bill. */
export function billEntry(organisation: string, bill: Bill): LedgerEntry {
  const entryId = `bill:${bill.requestId}`;
  return ledgerEntry(entryId, organisation, {case: 'bill', value: bill});
}

/** The entry of a transfer; giver and taker append the same. */
export function transferEntry(
  organisation: string,
  transfer: Transfer,
): LedgerEntry {
  const entryId = `transfer:${transfer.transferId}`;
  return ledgerEntry(entryId, organisation, {
    case: 'transfer',
    value: transfer,
  });
}

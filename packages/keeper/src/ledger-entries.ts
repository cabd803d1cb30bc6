import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  LedgerEntrySchema,
  WitnessChangeSchema,
  type Bill,
  type LedgerEntry,
  type Transfer,
} from '@wisteriadeal/schema';

type EntryKind = NonNullable<
  MessageInitShape<typeof LedgerEntrySchema>['kind']
>;

/**
 * Creates a ledger entry.
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

/**
 * Creates the entry of a bill. The fold counts the first bill of a request,
 * whichever grant it names.
 */
export function billEntry(organisation: string, bill: Bill): LedgerEntry {
  const entryId = `bill:${bill.requestId}:${bill.grantId}`;
  return ledgerEntry(entryId, organisation, {case: 'bill', value: bill});
}

/**
 * Creates the entry of a change of witness. The holder and the witness that it
 * has nominated append the same entry.
 */
export function witnessChangeEntry(
  entryId: string,
  organisation: string,
  value: MessageInitShape<typeof WitnessChangeSchema>,
): LedgerEntry {
  return ledgerEntry(entryId, organisation, {
    case: 'witnessChange',
    value: create(WitnessChangeSchema, value),
  });
}

/**
 * Creates the entry of a transfer. The sending and the receiving holder append
 * the same entry.
 */
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

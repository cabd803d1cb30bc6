import {create, toBinary, type MessageInitShape} from '@bufbuild/protobuf';
import {LedgerBatchSchema, type LedgerEntrySchema} from '@wisteriadeal/schema';

/** Encodes a ledger record with one entry, written by an operator. */
export function operatorRecord(
  operator: string,
  entry: MessageInitShape<typeof LedgerEntrySchema>,
): Uint8Array {
  const writer = `operator/${operator}`;
  return toBinary(
    LedgerBatchSchema,
    create(LedgerBatchSchema, {writer, entries: [entry]}),
  );
}
